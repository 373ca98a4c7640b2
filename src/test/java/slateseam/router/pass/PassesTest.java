package slateseam.router.pass;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Outcome;
import slateseam.router.connections.servers.Bounds;
import slateseam.router.farm.Farm;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.request.Answer;
import slateseam.router.request.Request;

/**
 * Tests when proxy passes are written, cut off, ended and counted, with real sockets on the loopback interface and a
 * clock that the test advances.
 */
class PassesTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<Object> told = new ArrayList<>();
    private long now = SECOND;
    private final Loop loop;
    private final ServerSocketChannel server = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    private final Farm farm = new Farm(List.of("a"), List.of("box"), -1);
    private final Passes passes;
    private int dispatched;
    private long id;

    PassesTest() throws Exception {
        loop = new Loop(() -> now, new Log("n0", () -> now, line -> {}));
        passes = new Passes(
                loop,
                farm,
                new PassListener() {
                    @Override
                    public void passEnded(
                            long request,
                            int attempt,
                            long to,
                            Outcome outcome,
                            boolean fetching,
                            Answer served,
                            long durationNanos) {
                        told.add(outcome);
                    }

                    @Override
                    public void happened(Event event) {
                        told.add(event);
                    }
                },
                SECOND / 5,
                new Bounds(1, 60 * SECOND, 100, false),
                () -> dispatched++);
        id = list("ready");
    }

    private long list(String health) throws Exception {
        return list("s1", health);
    }

    private long list(String host, String health) throws Exception {
        return farm.take(
                        new JSONObject("{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"" + host
                                + "\",\"dial\":\"127.0.0.1:" + server.socket().getLocalPort()
                                + "\",\"site\":\"a\",\"class\":\"box\",\"health\":\"" + health + "\"}]}"),
                        false)
                .members()
                .get(0)
                .id();
    }

    private void begin(long ticket) {
        passes.begin(
                ticket,
                new Request(
                        new byte[] {'k'},
                        new byte[] {'i'},
                        "c=read,d=9".getBytes(),
                        null,
                        null,
                        0,
                        0,
                        false,
                        SECOND,
                        false),
                0,
                id,
                SECOND,
                Long.MAX_VALUE,
                now + SECOND);
    }

    /** Accepts the next connection to the server and answers the pass on it. */
    private SocketChannel serve() throws Exception {
        SocketChannel connection = server.accept();
        connection.write(ByteBuffer.wrap("*1\r\n$1\r\nv\r\n".getBytes()));
        awaitOutcome();
        return connection;
    }

    private void awaitOutcome() throws Exception {
        for (int i = 0; told.isEmpty() && i < 5_000; i++) {
            loop.round(1_000_000);
        }
    }

    @Test
    void aConnectionThatWasClosedOnRequestIsCountedOnce() throws Exception {
        begin(1);
        serve();
        settle();
        farm.take(new JSONObject("{\"seq\":2,\"whole\":true,\"hosts\":[]}"), false);
        passes.farmChanged();
        now += 100 * SECOND;
        loop.round(0);
        id = list("s2", "ready");
        begin(2);
        assertThat(told).containsExactly(Outcome.OK);
        id = list("s3", "ready");
        begin(3);
        assertThat(told).containsExactly(Outcome.OK, Outcome.MOOT);
    }

    private void settle() throws Exception {
        now += SECOND / 100;
        loop.round(0);
    }

    @Test
    void anIdleConnectionGivesWayToAnotherServersPass() throws Exception {
        begin(1);
        serve();
        settle();
        id = list("s2", "ready");
        begin(2);
        told.clear();
        serve();
        assertThat(told).containsExactly(Outcome.OK);
    }

    @Test
    void aPassIsNotWrittenToAServerThatBeganToDrainWhileItConnected() throws Exception {
        begin(1);
        list("draining");
        passes.farmChanged();
        assertThat(told).containsExactly(Outcome.MOOT);
    }

    /** Nothing may be sent to a server after the final answer of its request, or just before its timeout. */
    @Test
    void aPassThatIsAnsweredOrNearlyOverIsNotWritten() throws Exception {
        begin(1);
        passes.answered(1);
        assertThat(told).containsExactly(Outcome.UNSENT);
        begin(2);
        now += SECOND - 4_000_000;
        loop.round(1_000_000);
        assertThat(told).containsExactly(Outcome.UNSENT, Outcome.UNSENT);
        SocketChannel connection = server.accept();
        connection.configureBlocking(false);
        assertThat(connection.read(ByteBuffer.allocate(9))).isZero();
    }

    /**
     * A server recognizes a repeated write only for a limited time. A repeat that cannot be written whole within
     * that time must not reach the server whole.
     */
    @Test
    void aRepeatThatCouldBeWrittenOnlyAfterItsWindowIsNotSent() throws Exception {
        passes.begin(1, write(new byte[1]), 0, id, SECOND, now + SECOND / 4, now + SECOND);
        now += SECOND / 4; // the connection is established only at that time
        awaitOutcome();
        assertThat(told).containsExactly(Outcome.UNSENT);
        loop.round(1_000_000);
        SocketChannel connection = server.accept();
        connection.configureBlocking(false);
        assertThat(connection.read(ByteBuffer.allocate(9))).isLessThanOrEqualTo(0);
    }

    @Test
    void aRepeatOfWhichAPartIsWrittenWhenItsWindowEndsIsCutThere() throws Exception {
        byte[] value = new byte[4 * 1024 * 1024];
        passes.begin(1, write(value), 0, id, SECOND, now + SECOND / 4, now + SECOND);
        SocketChannel connection = server.accept();
        for (int i = 0; i < 50; i++) {
            loop.round(1_000_000);
        }
        assertThat(told).isEmpty();
        now += SECOND / 4;
        awaitOutcome();
        assertThat(told).containsExactly(Outcome.UNSENT);
        assertThat(dispatched).isZero();
        assertThat(receivedBytes(connection)).isBetween(1L, value.length - 1L);
    }

    /** The remaining time sent to the server is computed when the pass is written, not when it was begun. */
    @Test
    void aPassWhoseConnectionComesUpLateTellsTheTimeThatIsLeftThen() throws Exception {
        begin(1);
        now += 150_000_000;
        assertThat(text(server.accept(), "d=850")).contains("c=read,d=850\r\n");
    }

    /** The remaining time is among the first bytes written, however late the operating system takes the rest. */
    @Test
    void aWriteThatTheSystemTakesInPartsHasToldItsTimeWithTheFirst() throws Exception {
        byte[] value = new byte[4 * 1024 * 1024];
        passes.begin(1, write(value), 0, id, SECOND, Long.MAX_VALUE, now + SECOND);
        now += 150_000_000;
        SocketChannel connection = server.accept();
        assertThat(text(connection, "k=1")).contains("c=put,d=850,k=1\r\n");
        assertThat(dispatched).isZero();
    }

    /** Returns the bytes received on a connection as soon as they contain a text. */
    private String text(SocketChannel connection, String awaited) throws Exception {
        connection.configureBlocking(false);
        ByteBuffer in = ByteBuffer.allocate(4096);
        String text = "";
        for (int i = 0; !text.contains(awaited) && i < 5_000; i++) {
            loop.round(1_000_000);
            connection.read(in);
            text = StandardCharsets.ISO_8859_1.decode(in.duplicate().flip()).toString();
        }
        return text;
    }

    private static Request write(byte[] value) {
        return new Request(
                new byte[] {'k'},
                new byte[] {'i'},
                "c=put,d=9,k=1".getBytes(),
                value,
                null,
                0,
                0,
                false,
                SECOND,
                false);
    }

    /** Returns how many bytes are received up to the end of the connection. */
    private long receivedBytes(SocketChannel connection) throws Exception {
        connection.configureBlocking(true);
        long all = 0;
        ByteBuffer in = ByteBuffer.allocate(64 * 1024);
        for (int come = 0; come >= 0; come = connection.read(in.clear())) {
            all += come;
        }
        return all;
    }

    /**
     * Surplus bytes behind a reply must not be taken for the reply to the next pass. They are detected just before
     * that pass is written; the pass is then sent once, on another connection.
     */
    @Test
    void aPassMeetsBytesThatNobodyHasReadYet() throws Exception {
        begin(1);
        SocketChannel connection = serve();
        assertThat(connection.read(ByteBuffer.allocate(999))).isPositive(); // the first command
        connection.write(ByteBuffer.wrap("*1\r\n$1\r\nx\r\n".getBytes()));
        told.clear();
        begin(2);
        assertThat(connection.read(ByteBuffer.allocate(999))).isEqualTo(-1);
        SocketChannel next = server.accept();
        next.write(ByteBuffer.wrap("*1\r\n$1\r\nv\r\n".getBytes()));
        for (int i = 0; i < 50; i++) {
            loop.round(1_000_000);
        }
        assertThat(told).isEmpty(); // held until a fence shows that it is no surplus reply
        next.write(ByteBuffer.wrap("+PONG\r\n".getBytes()));
        awaitOutcome();
        assertThat(told).containsExactly(Outcome.OK);
    }

    @Test
    void aProbeOfAServerThatIsNotListedIsNeverSent() {
        passes.probe(id + 1);
        assertThat(told).singleElement().asString().contains("MOOT");
    }

    /**
     * An attempt that still waits for its connection, or was given up before its last byte, does not count as
     * written; nor does a probe, which is not an attempt.
     */
    @Test
    void onlyAnAttemptThatWasWrittenWholeIsCountedAndOnce() throws Exception {
        begin(1);
        passes.answered(1);
        assertThat(dispatched).isZero();
        begin(2);
        told.clear();
        serve();
        assertThat(dispatched).isEqualTo(1);
        passes.probe(id);
        settle();
        assertThat(dispatched).isEqualTo(1);
    }
}
