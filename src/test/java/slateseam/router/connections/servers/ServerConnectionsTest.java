package slateseam.router.connections.servers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.router.connections.servers.Order.Why;
import slateseam.router.connections.servers.Rig.Request;

class ServerConnectionsTest {
    private Rig rig = new Rig(100, 100);
    private Pool server = rig.server(true);

    private Link first() {
        rig.comeUp();
        return server.links.get(0);
    }

    /** Returns a connection that has delivered an answer and whose pause is over. */
    private Link warm() {
        rig.ask(server);
        Link link = first();
        rig.pass(50);
        rig.answer(link);
        rig.pass(20);
        return link;
    }

    @Test
    void aConnectionThatHasJustAnsweredIsNotUsedAgainBeforeItHasRested() {
        rig = new Rig(100, 1);
        server = rig.server(true);
        Link link = warm();
        Request two = rig.ask(server);
        assertThat(rig.comingUp).hasSize(1);
        rig.comeUp();
        assertThat(two.on).isNotNull().isNotSameAs(link);
        assertThat(rig.connections.trust(rig.now, two.on)).isEqualTo(Trust.BELIEVE);
        rig.pass(80);
        assertThat(rig.ask(server).on).isSameAs(link);
        assertThat(rig.connections.trust(rig.now, link)).isEqualTo(Trust.BELIEVE);
    }

    @Test
    void anAnswerOnAConnectionThatHasNotRestedIsVerifiedWhereNoOtherCanBeOpened() {
        rig = new Rig(1, 1);
        server = rig.server(true);
        Link link = warm();
        assertThat(rig.ask(server).on).isSameAs(link);
        assertThat(rig.connections.trust(rig.now, link)).isEqualTo(Trust.VERIFY);
    }

    @Test
    void eachAnswerOfASuspectServerIsVerifiedHoweverLateItsBytesComeAndForHalfAMinute() {
        rig = new Rig(100, 1);
        server = rig.server(true);
        rig.noise(warm());
        Link other = warm();
        for (int i = 0; i < 29; i++) {
            rig.pass(1_000);
            assertThat(rig.ask(server).on).isSameAs(other);
            assertThat(rig.connections.trust(rig.now, other)).isEqualTo(Trust.VERIFY);
            rig.answer(other);
        }
        rig.pass(1_001);
        rig.ask(server);
        assertThat(rig.connections.trust(rig.now, other)).isEqualTo(Trust.BELIEVE);
    }

    @Test
    void aSuspectServerWithoutAFenceGetsOneRequestOnEachConnection() {
        rig = new Rig(100, 1);
        server = rig.server(false);
        Link out = warm();
        Link idle = rig.ask(server).on;
        assertThat(idle).isNull(); // it waits for a connection of its own
        rig.comeUp();
        Link noisy = server.links.get(1);
        rig.answer(noisy);
        rig.pass(100);
        Request used = rig.ask(server);
        rig.noise(used.on == out ? noisy : out);
        assertThat(rig.connections.trust(rig.now, used.on)).isEqualTo(Trust.REJECT);
        Request fresh = rig.ask(server);
        rig.comeUp();
        Link own = fresh.on;
        assertThat(rig.connections.trust(rig.now, own)).isEqualTo(Trust.BELIEVE);
        rig.answer(own);
        assertThat(rig.closed).contains(own);
    }

    @Test
    void noiseAtTwoServersMakesAllSuspectAndNothingIsShared() {
        Link link = warm();
        Pool healthy = server;
        List<Pool> noisy = List.of(rig.server(true), rig.server(true));
        for (Pool pool : noisy) {
            server = pool;
            rig.ask(server);
            rig.answer(first(), true);
        }
        rig.ask(healthy);
        assertThat(rig.ask(healthy).on).isNull();
        rig.pass(40);
        assertThat(rig.connections.trust(rig.now, link)).isEqualTo(Trust.VERIFY);
    }

    @Test
    void aFurtherConnectionIsOpenedUnlessABusyOneIsSoonFree() {
        server = rig.connections.add(false, true);
        rig.ask(server);
        Link link = first();
        rig.pass(100);
        rig.answer(link); // some 90 ms for a handshake, 10 for an answer
        rig.pass(10);
        rig.ask(server);
        rig.pass(40);
        rig.answer(link);
        rig.pass(10);
        rig.ask(server);
        rig.pass(35);
        Request soon = rig.ask(server); // an answer is due in 5 ms
        rig.pass(5);
        rig.answer(link);
        rig.pass(5);
        assertThat(soon.on).isSameAs(link);
        assertThat(rig.connections.figures().opened()).isEqualTo(1);
        Request waits = rig.ask(server); // now in some 35
        rig.comeUp();
        assertThat(waits.on).isNotNull().isNotSameAs(link);
    }

    @Test
    void atAStartRequestsShareFewConnectionsWhoseNumberIsBounded() {
        for (boolean shares : List.of(true, false)) {
            rig = new Rig(130, 100);
            List<Pool> servers = IntStream.range(0, 24)
                    .mapToObj(i -> rig.connections.add(shares, true))
                    .toList();
            List<Request> all = new ArrayList<>();
            for (Pool pool : servers) {
                for (int i = 0; i < 12; i++) {
                    all.add(rig.ask(pool));
                }
            }
            assertThat(rig.comingUp).hasSize(32); // a quarter of what may be had
            assertThat(servers).allMatch(pool -> pool.links.size() <= 8);
            // As those connections are established and deliver answers, the other servers get theirs.
            for (int round = 0; round < 40; round++) {
                rig.comeUp();
                rig.pass(10);
                rig.answerAll();
                assertThat(servers)
                        .allMatch(pool ->
                                pool.links.stream().filter(Link::isUnanswered).count() <= 16);
            }
            assertThat(all).allMatch(request -> request.served);
            assertThat(rig.connections.figures().opened())
                    .as("of %d requests", all.size())
                    .isLessThan(shares ? 100 : 200);
        }
    }

    @Test
    void aServerThatSaysNothingHoldsUpOnlyWhatWasPutBehindBeforeThatShowed() {
        Link link = warm();
        IntStream.range(0, 3).forEach(i -> rig.ask(server));
        rig.pass(300); // it should have answered after 50
        Request later = rig.ask(server);
        rig.comeUp();
        assertThat(later.on).isNotNull().isNotSameAs(link);
    }

    @Test
    void oneRefusedConnectionEndsNothingWhileAnotherIsThere() {
        Link link = warm();
        List<Request> all = IntStream.range(0, 6).mapToObj(i -> rig.ask(server)).toList();
        while (rig.comingUp.isEmpty()) {
            rig.pass(20);
            all.forEach(request -> assertThat(request.why).isNull());
            rig.ask(server);
        }
        List.copyOf(rig.comingUp).forEach(rig::refuse);
        assertThat(all).allMatch(request -> request.why == null);
        assertThat(rig.comingUp).isEmpty(); // the server takes no more of them just now
        rig.breakOff(link);
        // A written use may have been executed. An unwritten use waits for a connection, and ends when opening one
        // fails.
        assertThat(all.stream().filter(request -> request.why == Why.CUT))
                .hasSize(4)
                .allMatch(r -> r.on == link);
        rig.refuse(rig.comingUp.get(0));
        assertThat(all.stream().filter(request -> request.why == Why.NOT_UP))
                .hasSize(2)
                .allMatch(r -> r.on == null);
    }

    @Test
    void aUseGivenUpBeforeItWasWrittenLeavesItsConnectionToTheNext() {
        Request gone = rig.ask(server);
        rig.giveUp(gone);
        assertThat(rig.comingUp).hasSize(1);
        Request next = rig.ask(server);
        rig.comeUp();
        assertThat(next.on).isNotNull();
        assertThat(rig.connections.figures().opened()).isEqualTo(1);
    }

    @Test
    void aUseGivenUpOnASharedConnectionCostsTheOthersOnlyIfItIsSentAgain() {
        Link link = warm();
        List<Request> row = IntStream.range(0, 3).mapToObj(i -> rig.ask(server)).toList();
        assertThat(row).allMatch(request -> request.on == link);
        rig.giveUp(row.get(1));
        rig.answer(link);
        assertThat(row.get(0).served).isTrue();
        // The answer to the abandoned use is discarded, the next answer is not.
        rig.answer(link);
        assertThat(row.get(1).served).isFalse();
        rig.answer(link);
        assertThat(row.get(2).served).isTrue();
        List<Request> again =
                IntStream.range(0, 3).mapToObj(i -> rig.ask(server)).toList();
        rig.giveUp(again.get(0));
        rig.connections.cut(rig.now, again.get(0));
        rig.obey();
        assertThat(rig.closed).contains(link);
        assertThat(again).extracting(request -> request.why).containsExactly(null, Why.DROPPED, Why.DROPPED);
        rig.answer(rig.ask(server, 480, true).on == null ? first() : link); // the next goes on a connection of its own
        // A connection whose only outstanding use is abandoned is closed.
        Link last = server.links.get(0);
        Request alone = rig.ask(server);
        rig.giveUp(alone);
        assertThat(rig.closed).contains(last);
    }

    @Test
    void anAnswerThatIsDueThoughItsUserAgentLeftSavesTheConnectionUnlessItStaysOut() {
        Link link = warm();
        Request left = rig.ask(server);
        rig.pass(10);
        rig.giveUp(left, true);
        assertThat(rig.closed).isEmpty();
        rig.pass(20);
        rig.answer(link);
        assertThat(left.served).isFalse();
        rig.pass(20);
        Request next = rig.ask(server);
        assertThat(next.on).isSameAs(link);
        rig.giveUp(next, true);
        rig.pass(300);
        assertThat(rig.closed).containsExactly(link);
    }

    @Test
    void aServerThatDrainsEndsWhatWaitsAndLetsGoOnWhatIsOut() {
        Pool alone = rig.server(false);
        server = alone;
        Request out = rig.ask(alone);
        Link link = first();
        Request waits = rig.ask(alone);
        assertThat(waits.on).isNull();
        rig.connections.ready(rig.now, alone, false);
        rig.obey();
        assertThat(waits.why).isEqualTo(Why.SERVER_GONE);
        assertThat(out.why).isNull();
        rig.pass(30);
        rig.answer(link);
        assertThat(out.served).isTrue();
        assertThat(rig.closed).contains(link);
        assertThat(rig.ask(alone).why).isEqualTo(Why.SERVER_GONE);
    }

    @Test
    void forWantOfRoomTheLongestIdleOfTheServerThatHasMostIsClosed() {
        rig = new Rig(4, 1);
        Pool rich = rig.server(false);
        List<Request> three = IntStream.range(0, 3).mapToObj(i -> rig.ask(rich)).toList();
        rig.comeUp();
        rig.pass(100);
        while (three.stream().anyMatch(request -> !request.served)) {
            rig.answerAll();
            rig.comeUp();
            rig.pass(10);
        }
        int had = rich.links.size();
        Pool poor = rig.server(false);
        List<Pool> others = List.of(poor, rig.server(false), rig.server(false), rig.server(false));
        List<Request> asked = others.stream().map(rig::ask).toList();
        rig.comeUp();
        assertThat(had).isGreaterThan(1);
        assertThat(asked).allMatch(request -> request.on != null || request.why == Why.NO_ROOM);
        assertThat(rig.up).hasSize(4);
        rig.answerAll();
        rig.pass(100);
        others.forEach(rig::ask);
        // All connections are busy: a server without a connection gets none, a server with one waits for it.
        assertThat(rig.ask(rich).why).isEqualTo(Why.NO_ROOM);
        assertThat(rig.ask(poor).why).isNull();
    }

    @Test
    void aSpareConnectionIsKeptTenSecondsAndTheLastOneAsLongAsTheServerKeepsIt() {
        rig = new Rig(100, 1);
        server = rig.server(false);
        rig.ask(server);
        rig.ask(server);
        rig.comeUp();
        rig.pass(100);
        rig.answerAll();
        rig.answerAll();
        int had = server.links.size();
        rig.pass(10_001);
        assertThat(server.links).hasSize(1);
        rig.pass(37_000);
        assertThat(server.links).hasSize(1);
        rig.pass(2_000);
        assertThat(server.links).isEmpty();
        assertThat(rig.connections.figures().closed()).containsEntry(Closing.IDLE, (long) had);
    }
}
