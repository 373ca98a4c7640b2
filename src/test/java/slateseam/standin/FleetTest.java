package slateseam.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The origin, and the application servers that get their copies from it. */
class FleetTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: ";

    private final Stage stage = new Stage();
    private final Archive archive = new Archive(new ValueFigures(80, 0, 80), 1);
    private final Shared shared = new Shared(archive, new Copies(archive), new Receipts(stage, 4 * SECOND));
    private final ApplicationServer one = server("one");
    private final ApplicationServer two = server("two");

    private ApplicationServer server(String name) {
        ServerFigures figures = new ServerFigures(
                2,
                1,
                2,
                4,
                new ServerFigures.Crowding(100, 0),
                new ServerFigures.Cold(0.5, 4 * SECOND, 3, 2 * SECOND),
                new ServerFigures.Connections(3, ServerFigures.Beyond.REFUSED, 0, 0, 60 * SECOND, 10, 0),
                new ServerFigures.Keeping(100_000, 1_000, 0, true, SECOND, 1),
                new ServerFigures.Probing(false, 0, true),
                true,
                true,
                false,
                0);
        return new ApplicationServer(
                name,
                name,
                figures,
                new WorkFigures(List.of(new WorkFigures.OfClass("read", 0.01, 0, 0))),
                stage.world,
                source(),
                shared);
    }

    private static UniformRandomProvider source() {
        return RandomSource.XO_SHI_RO_256_PP.create(11L);
    }

    /** One place, 100 ms a read, 200 a write; two wait, for 150 ms. */
    private Origin origin(boolean goesOn) {
        Origin origin = new Origin(
                "origin",
                "origin",
                new OriginFigures(1, 0.1, 0, 2, 2, 150 * MILLI, 0, goesOn, 50, 60 * SECOND, 0, false, 0, false),
                stage.world,
                source(),
                shared);
        origin.start();
        return origin;
    }

    @BeforeEach
    void start() {
        one.start(false);
        two.start(false);
    }

    private static String get(String key, String id) {
        return "GET /" + key + " HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id + "\r\nX-Facts: c=read,d=900\r\n\r\n";
    }

    private static String put(String key, String id, String facts) {
        return "PUT /" + key + " HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id + "\r\nX-Facts: " + facts
                + "\r\nContent-Length: 3\r\n\r\n\r\nv";
    }

    private String ask(Stage.Peer peer, String key, String id) {
        peer.ask("CACHE.GET", key, id, "c=read");
        stage.pass(12 * MILLI);
        return peer.heard().split("\r\n")[3];
    }

    @Test
    void whatWasMissedIsStoredOnceTheOriginAnsweredAndAWriteVoidsIt() {
        origin(true);
        Stage.Peer atOne = stage.dial("one");
        Stage.Peer atTwo = stage.dial("two");
        Stage.Peer atOrigin = stage.dial("origin");
        assertThat(ask(atOne, "k", "i1")).isEqualTo("miss");
        assertThat(ask(atOne, "k", "i2")).isEqualTo("pending");
        assertThat(ask(atTwo, "k", "i1")).isEqualTo("miss");
        atOrigin.say(get("k", "i1"));
        stage.pass(102 * MILLI);
        assertThat(atOrigin.heard()).startsWith(HEAD + "80\r\n\r\nvalue k 1 i1 ");
        for (Stage.Peer peer : List.of(atOne, atTwo)) {
            peer.ask("CACHE.GET", "k", "i3", "c=read");
            stage.pass(12 * MILLI);
            assertThat(peer.heard())
                    .startsWith("*3\r\n$80\r\nvalue k 1 i3 ")
                    .contains("hit\r\n$")
                    .endsWith(peer == atOne ? ",hits=33\r\n" : ",hits=50\r\n");
        }
        atOrigin.say(put("k", "w", "c=put"));
        stage.pass(199 * MILLI);
        assertThat(one.copies() + two.copies()).isEqualTo(2);
        stage.pass(3 * MILLI);
        assertThat(atOrigin.heard()).isEqualTo(HEAD + "14\r\n\r\nreceipt k 2 w ");
        assertThat(one.copies() + two.copies()).isZero();
        atOne.ask("CACHE.SET", "k", "w2", "c=put", "v");
        stage.pass(12 * MILLI);
        assertThat(atOne.heard()).isEqualTo("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }

    @Test
    void aRequestSplitAnywhereGetsTheSameAnswer() {
        origin(true);
        String said = put("k", "w", "c=put,k=t");
        for (int split = 0; split <= said.length(); split++) {
            Stage.Peer peer = stage.dial("origin");
            peer.say(said.substring(0, split));
            stage.pass(MILLI);
            peer.say(said.substring(split));
            stage.pass(SECOND);
            assertThat(peer.heard()).as("split at " + split).matches("(?s)HTTP/1.1 200 OK.*\\Rreceipt k [0-9]+ w ");
            peer.wire.end();
        }
    }

    /** Guards against a fill that nobody asked for, or that outlives the process that missed. */
    @Test
    void nothingIsStoredForARouterThatLeftNorAtAServerThatWasRestarted() {
        origin(true);
        Stage.Peer atOne = stage.dial("one");
        Stage.Peer left = stage.dial("origin");
        ask(atOne, "k", "i1");
        left.say(get("k", "i1"));
        stage.pass(50 * MILLI);
        left.wire.end();
        stage.pass(SECOND);
        assertThat(one.copies()).isZero();
        ask(atOne, "k", "i2");
        Stage.Peer atOrigin = stage.dial("origin");
        atOrigin.say(get("k", "i2"));
        stage.pass(50 * MILLI);
        one.stop();
        one.start(true);
        stage.pass(SECOND);
        assertThat(atOrigin.heard()).isNotEmpty();
        assertThat(one.copies()).isZero();
        assertThat(atOne.broken).isTrue();
    }

    @Test
    void aShareOfAllKeysGoesVoidAtAllServersAlike() {
        for (int i = 0; i < 1_000; i++) {
            one.prefill("key" + i);
            two.prefill("key" + i);
        }
        shared.copies().voidShare(0.4, 5);
        assertThat(one.copies()).isBetween(550, 650).isEqualTo(two.copies());
        shared.copies().voidShare(0.4, 5);
        assertThat(one.copies()).isEqualTo(two.copies());
        shared.copies().voidShare(1, 6);
        assertThat(one.copies()).isZero();
    }

    @Test
    void theOriginsQueueIsBoundInRoomAndTime() {
        origin(true);
        List<Stage.Peer> peers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            peers.add(stage.dial("origin"));
            peers.get(i).say(get("k", "i" + i));
        }
        stage.pass(2 * MILLI);
        assertThat(peers.get(3).heard()).startsWith("HTTP/1.1 503 ").contains("X-Unprocessed: 1\r\n");
        stage.pass(150 * MILLI);
        assertThat(peers.get(2).heard()).startsWith("HTTP/1.1 504 ").contains("X-Unprocessed: 1\r\n");
        stage.pass(SECOND);
        assertThat(stage.witnessed).containsExactly("ran origin i0", "ran origin i1");
        assertThat(stage.made).containsOnlyKeys("i0", "i1");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theOriginGoesOnWithReadsThatNobodyWaitsForOrNot(boolean goesOn) {
        Origin origin = origin(goesOn);
        Stage.Peer leaving = stage.dial("origin");
        Stage.Peer staying = stage.dial("origin");
        leaving.say(get("k", "i1"));
        stage.pass(50 * MILLI);
        leaving.wire.reset();
        staying.say(get("k", "i2"));
        stage.pass(110 * MILLI);
        assertThat(staying.heard().isEmpty()).isEqualTo(goesOn);
        stage.pass(SECOND);
        assertThat(origin.tallies().of(Tally.FETCHED)).isEqualTo(goesOn ? 2 : 1);
        Stage.Peer writing = stage.dial("origin");
        writing.say(put("k", "w", "c=put,k=t"));
        stage.pass(50 * MILLI);
        writing.wire.reset();
        stage.pass(SECOND);
        assertThat(archive.version("k")).isEqualTo(2);
        staying.say(put("k", "w2", "c=put,k=t"));
        stage.pass(10 * MILLI);
        assertThat(staying.heard()).endsWith("receipt k 2 w2 ");
        assertThat(stage.witnessed).endsWith("ran origin w", "dropped origin w2");
    }

    /** 500 may have run, half of them did; what is marked unprocessed never ran. */
    @Test
    void troubledAnswersTellWhetherTheRequestMayHaveRun() {
        Origin origin = origin(true);
        origin.trouble(0.9);
        Stage.Peer peer = stage.dial("origin");
        int[] failed = new int[2];
        int unprocessed = 0;
        for (int i = 0; i < 200; i++) {
            peer.say(get("k", "i" + i));
            stage.pass(150 * MILLI);
            String heard = peer.heard();
            boolean ran = stage.witnessed.contains("ran origin i" + i);
            if (heard.contains("X-Unprocessed: 1")) {
                unprocessed++;
                assertThat(heard).containsAnyOf(" 503 ", " 504 ");
                assertThat(ran).isFalse();
            } else if (heard.contains(" 500 ")) {
                failed[ran ? 1 : 0]++;
            } else {
                assertThat(heard).startsWith(HEAD);
                assertThat(ran).isTrue();
            }
        }
        assertThat(unprocessed).isBetween(90, 150);
        assertThat(failed[0]).isBetween(15, 45);
        assertThat(failed[1]).isBetween(15, 45);
    }

    @Test
    void aSlowSpellSlowsWorkThatIsOutAndEnds() {
        Origin origin = origin(true);
        Stage.Peer peer = stage.dial("origin");
        peer.say(get("k", "i1"));
        stage.pass(50 * MILLI + MILLI / 2);
        origin.slow(5);
        stage.pass(200 * MILLI);
        assertThat(peer.heard()).isEmpty();
        origin.slow(1);
        stage.pass(9 * MILLI);
        assertThat(peer.heard()).isEmpty();
        stage.pass(2 * MILLI);
        assertThat(peer.heard()).startsWith(HEAD);
        peer.say("GET /-/healthy HTTP/1.1\r\n\r\nGET /-/load HTTP/1.1\r\n\r\nGET /k HTTP/1.1\r\n\r\n");
        stage.pass(2 * MILLI);
        assertThat(peer.heard())
                .contains("\r\n\r\nok\n")
                .contains("inwork=0,waiting=0\n")
                .contains("HTTP/1.1 400 ");
        assertThat(peer.ended).isTrue();
        origin.stop();
        origin.slow(3);
        origin.start();
        Stage.Peer later = stage.dial("origin");
        later.say(get("k", "i2"));
        stage.pass(299 * MILLI);
        assertThat(later.heard()).isEmpty();
        stage.pass(3 * MILLI);
        assertThat(later.heard()).startsWith(HEAD);
    }

    @Test
    void figuresOutOfTheirRangesAreToldByName() {
        assertThatThrownBy(() -> new ServerFigures.Cold(0, SECOND, 3, SECOND))
                .hasMessage("cold share is 0, not from 0.01 to 1");
        assertThatThrownBy(() -> new Spoil(Spoil.Kind.NOISE, 1.5, 0))
                .hasMessage("share of spoilt answers is 1.5, not from 0 to 1");
        assertThatThrownBy(() -> new WorkFigures(List.of(new WorkFigures.OfClass("read", Double.NaN, 0, 0))))
                .hasMessageStartingWith("work of read is NaN");
    }

    /** The whole of what is said and witnessed, for a seed. */
    private static String play(long seed) {
        Stage stage = new Stage();
        Archive archive = new Archive(ValueFigures.usual(), seed);
        Shared shared = new Shared(archive, new Copies(archive), new Receipts(stage, 4 * SECOND));
        UniformRandomProvider source = RandomSource.XO_SHI_RO_256_PP.create(seed);
        new ApplicationServer("s", "s", ServerFigures.small(), WorkFigures.usual(), stage.world, source, shared)
                .start(true);
        new Origin("o", "o", OriginFigures.usual(), stage.world, source, shared).start();
        Stage.Peer server = stage.dial("s");
        Stage.Peer origin = stage.dial("o");
        for (int i = 0; i < 60; i++) {
            String key = "k" + source.nextInt(8);
            server.ask("CACHE.GET", key, "i" + i, "c=read,d=800");
            origin.say(i % 5 == 0 ? put(key, "i" + i, "c=once-write") : get(key, "i" + i));
            stage.pass(40 * MILLI);
        }
        stage.pass(10 * SECOND);
        return server.heard() + origin.heard() + stage.witnessed;
    }

    @Test
    void oneSeedGivesOneCourse() {
        assertThat(play(3)).isEqualTo(play(3)).isNotEqualTo(play(4)).contains("hit", "miss", "receipt");
    }
}
