package slateseam.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;
import static slateseam.standin.Stage.command;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.standin.ServerFigures.Beyond;

class ApplicationServerTest {
    private static final int WORK_MILLIS = 100;

    private final Stage stage = new Stage();
    private Shared shared = shared();

    private Shared shared() {
        Archive archive = new Archive(new ValueFigures(80, 0, 80), 1);
        return new Shared(archive, new Copies(archive), new Receipts(stage, 4 * SECOND));
    }

    /** Slots that are all cores, one place to wait; each request is 100 ms of work. */
    private static ServerFigures figures(int cores, boolean stops, int requests, Beyond beyond) {
        return new ServerFigures(
                cores,
                1,
                cores,
                1,
                new ServerFigures.Crowding(100, 0),
                new ServerFigures.Cold(0.5, 4 * SECOND, 3, 2 * SECOND),
                new ServerFigures.Connections(3, beyond, 0.01, MILLI, 10 * SECOND, requests, 0),
                new ServerFigures.Keeping(1_000, 3, 20 * SECOND, true, SECOND, 0.5),
                new ServerFigures.Probing(true, 0.001, false),
                stops,
                true,
                true,
                0);
    }

    private ApplicationServer server(String name, ServerFigures figures) {
        WorkFigures work = new WorkFigures(List.of(new WorkFigures.OfClass("read", WORK_MILLIS / 1e3, 0, 0)));
        return new ApplicationServer(
                name, name, figures, work, stage.world, RandomSource.XO_SHI_RO_256_PP.create(7L), shared);
    }

    private ApplicationServer started(ServerFigures figures, boolean cold) {
        ApplicationServer server = server("s", figures);
        server.start(cold);
        server.prefill("k");
        return server;
    }

    private Stage.Peer settled(String address) {
        Stage.Peer peer = stage.dial(address);
        stage.pass(20 * MILLI);
        return peer;
    }

    private String hit(String id) {
        return "*3\r\n$80\r\n" + new String(stage.made.get(id), StandardCharsets.ISO_8859_1)
                + "\r\n$3\r\nhit\r\n$-1\r\n";
    }

    @Test
    void servesWhatItKeepsForThatRequestAfterItsWork() {
        started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer peer = settled("s");
        peer.ask("CACHE.GET", "k", "i1", "c=read,d=400");
        stage.pass(98 * MILLI);
        assertThat(peer.heard()).isEmpty();
        stage.pass(4 * MILLI);
        assertThat(peer.heard()).isEqualTo(hit("i1"));
        assertThat(Archive.madeFor(stage.made.get("i1"))).isEqualTo("i1");
        assertThat(stage.witnessed).containsExactly("ran s i1");
    }

    /** Guards against a reader that loses its place: whatever comes together or apart, the answers are the same. */
    @Test
    void aCommandSplitAnywhereGetsTheSameAnswers() {
        String said = command("CLIENT", "SETNAME", "r")
                + command("CACHE.GET", "k", "i1", "c=read")
                + command("CACHE.SET", "k", "i2", "c=read", "two\r\nlines".repeat(60))
                + command("HELLO", "3")
                + command("CACHE.GET", "k", "i3")
                + command("CACHE.GET", "k", "i4", "read");
        String whole = null;
        for (int split = 0; split <= said.length(); split++) {
            shared = shared();
            ApplicationServer server = server("s" + split, figures(1, true, 10, Beyond.REFUSED));
            server.start(false);
            server.prefill("k");
            Stage.Peer peer = settled("s" + split);
            peer.say(said.substring(0, split));
            stage.pass(MILLI);
            peer.say(said.substring(split));
            stage.pass(SECOND);
            String heard = peer.heard();
            whole = whole == null ? heard : whole;
            assertThat(heard).as("split at " + split).isEqualTo(whole);
            assertThat(server.tallies().of(Tally.UNREADABLE)).isEqualTo(2);
        }
        assertThat(whole)
                .startsWith("+OK\r\n*3\r\n$80\r\nvalue k 1 i1 ")
                .contains("receipt k 2 i2 ")
                .contains("-ERR unknown command\r\n-SYNTAX too")
                .endsWith("-SYNTAX not a list of names and values\r\n");
    }

    @Test
    void whatHasNoRoomIsTurnedAwayAndNeverRuns() {
        started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer first = settled("s");
        Stage.Peer second = settled("s");
        first.ask("CACHE.GET", "k", "i1", "c=read");
        first.ask("CACHE.GET", "k", "i2", "c=read");
        stage.pass(2 * MILLI);
        second.ask("CACHE.GET", "k", "i3", "c=read");
        stage.pass(2 * MILLI);
        assertThat(second.heard()).isEqualTo("-BUSY\r\n");
        stage.pass(SECOND);
        assertThat(first.heard()).isEqualTo(hit("i1") + hit("i2"));
        assertThat(stage.witnessed).containsExactly("ran s i1", "ran s i2");
    }

    @Test
    void whatWaitsLongerThanItIsWaitedForNeverRuns() {
        started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer first = settled("s");
        Stage.Peer second = settled("s");
        first.ask("CACHE.GET", "k", "i1", "c=read,d=90");
        second.ask("CACHE.GET", "k", "i2", "c=read,d=60");
        stage.pass(62 * MILLI);
        assertThat(second.heard()).isEqualTo("-BUSY\r\n");
        stage.pass(SECOND);
        assertThat(first.heard()).isEqualTo("-ERR failed\r\n");
        assertThat(stage.witnessed).containsExactly("ran s i1");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void workWhoseConnectionGoesStopsOrGoesOn(boolean stops) {
        ApplicationServer server = started(figures(1, stops, 10, Beyond.REFUSED), false);
        Stage.Peer leaving = settled("s");
        Stage.Peer staying = settled("s");
        leaving.ask("CACHE.GET", "k", "i1", "c=read");
        staying.ask("CACHE.GET", "k", "i2", "c=read");
        stage.pass(50 * MILLI);
        leaving.wire.end();
        stage.pass(110 * MILLI);
        assertThat(staying.heard()).isEqualTo(stops ? hit("i2") : "");
        stage.pass(50 * MILLI);
        assertThat(stage.made).containsOnlyKeys("i2");
        assertThat(server.tallies().of(Tally.STOPPED)).isEqualTo(stops ? 1 : 0);
    }

    /** Guards the effect of a write against a router that leaves: begun is carried out. */
    @Test
    void aWriteThatHasBegunIsCarriedOut() {
        ApplicationServer server = started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer peer = settled("s");
        peer.ask("CACHE.SET", "k", "i1", "c=read", "v");
        stage.pass(50 * MILLI);
        peer.wire.reset();
        stage.pass(SECOND);
        assertThat(shared.archive().version("k")).isEqualTo(2);
        assertThat(server.copies()).isZero();
    }

    @Test
    void aKeyedWriteIsDroppedAtAnyServerWithinItsWindowAlone() {
        started(figures(1, true, 10, Beyond.REFUSED), false);
        server("t", figures(1, true, 10, Beyond.REFUSED)).start(false);
        Stage.Peer one = settled("s");
        Stage.Peer other = settled("t");
        one.ask("CACHE.SET", "k", "i1", "c=read,k=abc", "v");
        stage.pass(3 * SECOND);
        other.ask("CACHE.SET", "k", "i2", "c=read,k=abc", "v");
        stage.pass(SECOND + MILLI);
        assertThat(other.heard()).contains("receipt k 2 i2 ");
        other.ask("CACHE.SET", "k", "i3", "c=read,k=abc", "v");
        stage.pass(SECOND);
        assertThat(other.heard()).contains("receipt k 3 i3 ");
        assertThat(stage.witnessed).containsExactly("ran s i1", "dropped t i2", "ran t i3");
    }

    @Test
    void requestsOnOneConnectionAreBegunUpToANumberAndAnsweredInOrder() {
        started(figures(3, true, 2, Beyond.REFUSED), false);
        Stage.Peer peer = settled("s");
        peer.ask("CACHE.GET", "k", "i1", "c=read");
        peer.ask("PING");
        peer.ask("CACHE.GET", "k", "i3", "c=read");
        stage.pass(90 * MILLI);
        assertThat(peer.heard()).isEmpty();
        assertThat(stage.witnessed).containsExactly("ran s i1");
        stage.pass(30 * MILLI);
        assertThat(peer.heard()).isEqualTo(hit("i1") + "+PONG\r\n");
        stage.pass(100 * MILLI);
        assertThat(peer.heard()).isEqualTo(hit("i3"));
    }

    /** 3 times half a core for 2 s are 3 core seconds; the server warms up by a little while they come. */
    @Test
    void aColdServerSentTooMuchFallsAndStaysDownAndAWarmOneStands() {
        for (boolean cold : new boolean[] {false, true}) {
            ApplicationServer server = server("s" + cold, figures(1, true, 100, Beyond.REFUSED));
            server.start(cold);
            server.prefill("k");
            Stage.Peer peer = settled("s" + cold);
            peer.ask("CACHE.GET", "k", "i0", "c=read");
            peer.ask("CACHE.SET", "k", "i1", "c=read", "waits, and must not run when the server falls");
            for (int i = 2; i < 30; i++) {
                peer.ask("CACHE.GET", "k", "i" + i, "c=read");
            }
            stage.pass(2 * MILLI);
            assertThat(server.isUp()).isTrue();
            peer.ask("CACHE.GET", "k", "j", "c=read");
            peer.ask("CACHE.GET", "k", "l", "c=read");
            stage.pass(30 * SECOND);
            assertThat(server.isUp()).isEqualTo(!cold);
            assertThat(peer.broken).isEqualTo(cold);
            assertThat(stage.dial("s" + cold).broken).isEqualTo(cold);
        }
        assertThat(stage.witnessed)
                .containsOnlyOnce("fell strue")
                .doesNotContain("fell sfalse")
                .contains("ran sfalse i1")
                .doesNotContain("ran strue i1");
    }

    @Test
    void workSentBeforeTheWindowCountsNoMore() {
        ColdLoad load = new ColdLoad(new ServerFigures.Cold(0.5, 4 * SECOND, 3, 2 * SECOND));
        assertThat(load.isTooMuch(0, 2.9, 0.5)).isFalse();
        assertThat(load.isTooMuch(2 * SECOND + 1, 2.9, 0.5)).isFalse();
        assertThat(load.isTooMuch(2 * SECOND + 2, 0.2, 0.5)).isTrue();
    }

    @Test
    void warmthIsTakenIntoAccountExactly() {
        Warmth warmth = new Warmth(0, 0.25, 4 * SECOND);
        assertThat(warmth.between(0, 4 * SECOND)).isEqualTo(2.5);
        for (long from : new long[] {0, SECOND, 3_999 * MILLI, 5 * SECOND}) {
            for (double amount : new double[] {1e-6, 0.2, 2.5, 40}) {
                double reached = warmth.between(from, warmth.reaches(from, amount));
                assertThat(reached).isBetween(amount - 1e-9, amount + 3e-9);
            }
        }
    }

    @Test
    void aDrainingServerServesWhatComesLateAndCountsIt() {
        ApplicationServer server = started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer peer = settled("s");
        server.drain();
        peer.ask("CACHE.GET", "k", "i1", "c=read");
        stage.pass(SECOND);
        assertThat(peer.heard()).isEqualTo(hit("i1"));
        assertThat(server.tallies().of(Tally.ASKED_DRAINING)).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Beyond.class)
    void connectionsBeyondTheCapAreRefusedResetOrTurnedAway(Beyond beyond) {
        started(figures(1, true, 10, beyond), false);
        Stage.Peer first = settled("s");
        settled("s");
        settled("s");
        Stage.Peer surplus = settled("s");
        assertThat(surplus.up).isEqualTo(beyond != Beyond.REFUSED);
        assertThat(surplus.broken).isEqualTo(beyond != Beyond.BUSY);
        if (beyond == Beyond.BUSY) {
            surplus.ask("CACHE.GET", "k", "i1", "c=read");
            stage.pass(2 * MILLI);
            assertThat(surplus.heard()).isEqualTo("-BUSY\r\n");
            assertThat(surplus.ended).isTrue();
        }
        first.wire.end();
        stage.pass(2 * MILLI);
        assertThat(settled("s").broken).isFalse();
        assertThat(stage.witnessed).isEmpty();
    }

    /** Its work and a delay come before the first request on it, and its idle time behind the last. */
    @Test
    void aConnectionCostsTimeAtItsBeginAndEndsWhenIdle() {
        started(figures(1, true, 10, Beyond.REFUSED), false);
        Stage.Peer peer = stage.dial("s");
        peer.ask("PING");
        stage.pass(10 * MILLI);
        assertThat(peer.heard()).isEmpty();
        stage.pass(3 * MILLI);
        assertThat(peer.heard()).isEqualTo("+PONG\r\n");
        stage.pass(9 * SECOND);
        peer.ask("PING");
        stage.pass(9 * SECOND);
        assertThat(peer.ended).isFalse();
        stage.pass(2 * SECOND);
        assertThat(peer.ended).isTrue();
        peer.ask("PING");
        stage.pass(2 * MILLI);
        assertThat(peer.broken).isTrue();
    }

    @Test
    void keepsSoManyCopiesForSoLongAndDropsWhatWasUsedLongestAgo() {
        ApplicationServer server = started(figures(1, true, 10, Beyond.REFUSED), false);
        server.prefill("l");
        server.prefill("m");
        Stage.Peer peer = settled("s");
        peer.ask("CACHE.GET", "k", "i1", "c=read");
        stage.pass(SECOND);
        server.prefill("n");
        peer.ask("CACHE.GET", "l", "i2", "c=read");
        peer.ask("CACHE.GET", "k", "i3", "c=read");
        stage.pass(SECOND);
        assertThat(peer.heard()).endsWith("$-1\r\n$4\r\nmiss\r\n$-1\r\n" + hit("i3"));
        stage.pass(18 * SECOND);
        Stage.Peer later = settled("s");
        later.ask("CACHE.GET", "k", "i4", "c=read");
        stage.pass(SECOND);
        assertThat(later.heard()).isEqualTo("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
}
