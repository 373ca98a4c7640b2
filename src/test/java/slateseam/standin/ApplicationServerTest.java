package slateseam.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;
import static slateseam.standin.Stage.command;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import slateseam.standin.ServerFigures.Beyond;

class ApplicationServerTest {
    private static final String MISS = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    private static final String PENDING = "*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n";

    private final Stage stage = new Stage();
    private Shared shared = shared();

    private Shared shared() {
        Archive archive = new Archive(new ValueFigures(80, 0, 80), 1);
        return new Shared(archive, new Copies(archive), new Receipts(stage, 4 * SECOND));
    }

    /** One core, one slot, one place to wait; each request is 100 ms of work. */
    private static ServerFigures figures(boolean stops, int requests, double coldShare) {
        return new ServerFigures(1, 1, 1, 1, new ServerFigures.Crowding(100, 0),
                new ServerFigures.Cold(coldShare, 4 * SECOND, 3, 2 * SECOND),
                new ServerFigures.Connections(3, Beyond.REFUSED, 0.01, MILLI, 10 * SECOND, requests, 0),
                new ServerFigures.Keeping(1_000, 3, 20 * SECOND, true, SECOND, 0.5),
                new ServerFigures.Probing(true, 0.001, false), stops, true, true, 0);
    }

    private ApplicationServer server(String name, ServerFigures figures) {
        WorkFigures work = new WorkFigures(List.of(new WorkFigures.OfClass("read", 0.1, 0, 0)));
        return new ApplicationServer(name, name, figures, work, stage.world, RandomSource.XO_SHI_RO_256_PP.create(7L),
                shared);
    }

    private ApplicationServer warm(boolean stops, int requests) {
        ApplicationServer server = server("s", figures(stops, requests, 0.5));
        server.start(false);
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
    void servesWhatItKeepsForTheRequestAlone() {
        ApplicationServer server = warm(true, 10);
        server.prefill("k");
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
        String said = command("CLIENT", "SETNAME", "r") + command("CACHE.GET", "k", "i1", "c=read") + 
                command("CACHE.SET", "k", "i2", "c=read", "two\r\nlines") + command("HELLO", "3")
                + command("CACHE.GET", "k", "i3");
        String whole = null;
        for (int split = 0; split <= said.length(); split++) {
            shared = shared();
            ApplicationServer server = server("s" + split, figures(true, 10, 0.5));
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
        }
        assertThat(whole).startsWith("+OK\r\n*3\r\n$80\r\nvalue k 1 i1 ").contains("receipt k 2 i2 ")
                .contains("-ERR unknown command\r\n-SYNTAX ");
    }

    @Test
    void whatHasNoRoomIsTurnedAwayAndNeverRuns() {
        ApplicationServer server = warm(true, 10);
        server.prefill("k");
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
}
