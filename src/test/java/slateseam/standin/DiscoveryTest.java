package slateseam.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import slateseam.standin.Listing.Health;

class DiscoveryTest {
    private static final Listing A = new Listing("a", "10.1.0.1:6379", "north", "large", 1, Health.READY, 1, 0);
    private static final Listing B = new Listing("b", "10.1.0.2:6379", "south", "small", 2, Health.READY, 0.5, 17);

    private final Stage stage = new Stage();

    private DiscoveryAgent agent(boolean alwaysWhole) {
        return new DiscoveryAgent(
                "d",
                new DiscoveryFigures(0, 1_500 * MILLI, alwaysWhole),
                stage.world,
                RandomSource.XO_SHI_RO_256_PP.create(1L),
                List.of(A, B));
    }

    private void ask(Stage.Peer peer, String query) {
        peer.say("GET /api/targets" + query + " HTTP/1.1\r\nHost: d\r\n\r\n");
        stage.pass(MILLI);
    }

    /** The version, whether it is whole, and host and health of each entry; empty if nothing came. */
    private static String told(Stage.Peer peer) {
        String heard = peer.heard();
        if (heard.isEmpty()) {
            return "";
        }
        JSONObject list = new JSONObject(heard.substring(heard.indexOf("\r\n\r\n")));
        JSONArray hosts = list.getJSONArray("hosts");
        return list.getLong("seq")
                + (list.getBoolean("whole") ? " whole" : "")
                + IntStream.range(0, hosts.length())
                        .mapToObj(hosts::getJSONObject)
                        .map(host -> ' ' + host.getString("host") + ':' + host.getString("health"))
                        .collect(Collectors.joining());
    }

    @Test
    void aWatchWaitsForWhatIsNewerAndIsToldItLate() {
        DiscoveryAgent agent = agent(false);
        Stage.Peer peer = stage.dial("d");
        ask(peer, "");
        assertThat(told(peer)).isEqualTo("2 whole a:ready b:ready");
        ask(peer, "?index=2&wait=5000");
        agent.change(A.with(Health.DRAINING), 2 * SECOND);
        stage.pass(1_998 * MILLI);
        assertThat(told(peer)).isEmpty();
        stage.pass(3 * MILLI);
        assertThat(told(peer)).isEqualTo("3 a:draining");
        agent.change(B.with(Health.GONE), 0);
        stage.pass(MILLI);
        ask(peer, "?index=2&wait=5000");
        assertThat(told(peer)).isEqualTo("4 a:draining b:gone");
        ask(peer, "?index=4&wait=500");
        stage.pass(498 * MILLI);
        assertThat(told(peer)).isEmpty();
        stage.pass(3 * MILLI);
        assertThat(told(peer)).isEqualTo("4");
        ask(peer, "?index=977&wait=500");
        assertThat(told(peer)).isEqualTo("4 whole a:draining");
    }

    /** Guards the agent's memory: what it has forgotten it tells as a whole list. */
    @Test
    void aWatchFromBeforeTheServersThatItForgotGetsTheWholeList() {
        DiscoveryAgent agent = agent(false);
        for (int i = 0; i < 4_097; i++) {
            agent.change(new Listing("x" + i, "10.1.1.1:1", "north", "small", 1, Health.GONE, 1, 0), 0);
        }
        stage.pass(MILLI);
        Stage.Peer peer = stage.dial("d");
        ask(peer, "?index=2&wait=0");
        assertThat(told(peer)).isEqualTo("4099 whole a:ready b:ready");
        ask(peer, "?index=3&wait=0");
        assertThat(told(peer)).startsWith("4099 x1:gone x2:gone").endsWith("x4096:gone");
    }

    /** Guards against an old state that is heard last: the lateness ends between the two. */
    @Test
    void whatIsLateIsNotOvertakenByWhatComesAfterIt() {
        DiscoveryAgent agent = agent(true);
        Stage.Peer peer = stage.dial("d");
        agent.late(6 * SECOND);
        agent.change(A.with(Health.DRAINING), SECOND);
        agent.late(0);
        agent.change(A.with(Health.GONE), SECOND);
        agent.change(B.with(Health.DRAINING), SECOND);
        ask(peer, "?index=2&wait=20000");
        stage.pass(2 * SECOND);
        assertThat(told(peer)).isEqualTo("3 whole a:ready b:draining");
        ask(peer, "?index=3&wait=20000");
        stage.pass(6 * SECOND);
        assertThat(told(peer)).isEqualTo("4 whole b:draining a:draining");
        ask(peer, "?index=4&wait=20000");
        assertThat(told(peer)).isEqualTo("5 whole b:draining");
    }

    @Test
    void aFrozenListTellsNothingNewAndASilentAgentNothing() {
        DiscoveryAgent agent = agent(false);
        Stage.Peer peer = stage.dial("d");
        agent.freeze(true);
        agent.change(A.with(Health.GONE), 0);
        ask(peer, "?index=2&wait=300");
        stage.pass(300 * MILLI);
        assertThat(told(peer)).isEqualTo("2");
        agent.silence(true);
        ask(peer, "");
        stage.pass(SECOND);
        assertThat(stage.dial("d").up).isTrue();
        assertThat(told(peer)).isEmpty();
        agent.freeze(false);
        stage.pass(MILLI);
        assertThat(told(peer)).isEmpty();
        agent.silence(false);
        stage.pass(MILLI);
        assertThat(told(peer)).isEqualTo("3 whole b:ready");
        assertThat(new JSONObject(agent.whole()).getLong("seq")).isEqualTo(3);
    }

    @Test
    void anAgentThatMovesRefusesAtItsOldAddressAndCountsAnewAtTheOther() {
        DiscoveryAgent agent = agent(false);
        agent.change(A.with(Health.GONE), 0);
        stage.pass(MILLI);
        Stage.Peer old = stage.dial("d");
        ask(old, "?index=3&wait=20000");
        agent.move("e");
        agent.change(B.with(Health.DRAINING), 0);
        assertThat(stage.dial("d").broken).isTrue();
        Stage.Peer other = stage.dial("e");
        ask(other, "?index=0&wait=20000");
        assertThat(told(other)).isEqualTo("2 b:draining");
        stage.pass(1_497 * MILLI);
        assertThat(old.ended).isFalse();
        stage.pass(3 * MILLI);
        assertThat(old.ended).isTrue();
        assertThat(told(old)).isEmpty();
        assertThat(other.ended).isFalse();
    }
}
