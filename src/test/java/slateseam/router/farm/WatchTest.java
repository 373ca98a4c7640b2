package slateseam.router.farm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

/** A watch against a discovery on a loopback socket that fails it in each way, on a clock moved by hand. */
class WatchTest {
    private static final long MILLI = 1_000_000L;
    /** Of a drain, which is to be kept by others than the watch. */
    private static final long GRACE_MILLIS = 500;

    private static final long STEP_MILLIS = 10;

    /** How discovery fails a call. */
    private enum Fault {
        SILENT,
        RESET,
        ENDED,
        REFUSED,
        BUSY,
        HALF,
        SPOILT,
        OLDER
    }

    private long now = 1_000_000 * MILLI;
    private final Loop loop = new Loop(() -> now, new Log("n0", () -> now, line -> {}));
    private final Farm farm = new Farm(List.of("a"), List.of("box"), -1);
    private final List<SocketChannel> open = new ArrayList<>();
    private ServerSocketChannel discovery = listen(0);
    private final int port = discovery.socket().getLocalPort();
    /** When the drain was known; 0 while it is not. */
    private long drainedAt;
    /** Calls that came, by what they ask. */
    private final List<String> calls = new ArrayList<>();

    WatchTest() throws IOException {}

    private static ServerSocketChannel listen(int port) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(new InetSocketAddress("127.0.0.1", port)).configureBlocking(false);
        return channel;
    }

    @AfterEach
    void close() throws IOException {
        discovery.close();
        for (SocketChannel channel : open) {
            channel.close();
        }
    }

    private Watch watch(long seed) {
        return new Watch(loop, new InetSocketAddress("127.0.0.1", port), farm, seed, changed -> {
            boolean ready = farm.entry(Farm.id("s1")).isReady();
            drainedAt = ready ? 0 : drainedAt == 0 ? now : drainedAt;
        });
    }

    static Stream<Arguments> twoFaults() {
        return Stream.of(Fault.values())
                .flatMap(first -> Stream.of(Fault.values()).map(second -> Arguments.of(first, second)));
    }

    /** No list of a new address is older than that of another. */
    static Stream<Arguments> twoFaultsOfANewAddress() {
        return twoFaults().filter(faults -> !List.of(faults.get()).contains(Fault.OLDER));
    }

    /** The first fault meets the watch in whose beginning the drain is told, the second the call after it. */
    @ParameterizedTest
    @MethodSource("twoFaults")
    void aDrainIsKnownInTimeThoughTwoCallsFail(Fault first, Fault second) throws IOException {
        watch(7).begin();
        answer(next(), 42, "ready");
        SocketChannel watch = next();
        long told = now;
        fail(watch, first);
        if (first != Fault.REFUSED) {
            fail(second == Fault.REFUSED ? null : next(), second);
        }
        answer(next(), 43, "draining");
        await(() -> drainedAt > 0);
        assertThat((drainedAt - told) / MILLI)
                .as("calls " + calls)
                .isLessThanOrEqualTo(Watch.longestMillis() + STEP_MILLIS)
                .isLessThanOrEqualTo(Watch.TOLD_MILLIS - GRACE_MILLIS);
    }

    @Test
    void theWaitsAddUpToLessThanTheTimeAfterWhichAChangeCountsAsTold() {
        assertThat(Watch.longestMillis()).isLessThanOrEqualTo(Watch.TOLD_MILLIS - GRACE_MILLIS);
    }

    /** After SIGHUP a change counts as told 4 s later. */
    @ParameterizedTest
    @MethodSource("twoFaultsOfANewAddress")
    void anAddressThatChangesWhileCallsFailIsAskedAtOnce(Fault first, Fault second) throws IOException {
        Watch watch = watch(11);
        watch.begin();
        answer(next(), 42, "ready");
        SocketChannel old = next();
        ServerSocketChannel before = discovery;
        discovery = listen(0);
        watch.moveTo((InetSocketAddress) discovery.getLocalAddress());
        long moved = now;
        fail(first == Fault.REFUSED ? null : next(), first);
        if (first != Fault.REFUSED) {
            fail(second == Fault.REFUSED ? null : next(), second);
        }
        answer(next(), 3, "draining"); // versions count anew there
        await(() -> drainedAt > 0);
        assertThat((drainedAt - moved) / MILLI).as("calls " + calls).isLessThanOrEqualTo(4_000 - GRACE_MILLIS);
        old.close();
        before.close();
    }

    /** A discovery whose store was lost counts from the beginning: its lists are taken when they stay older. */
    @Test
    void listsThatStayOlderAreTakenInTheEnd() throws IOException {
        watch(5).begin();
        answer(next(), 42, "ready");
        answer(next(), 7, "draining");
        SocketChannel second = next();
        assertThat(drainedAt).isZero();
        answer(second, 7, "draining");
        answer(next(), 7, "draining");
        await(() -> drainedAt > 0);
        assertThat(farm.version()).isEqualTo(7);
    }

    /** A fleet whose watches all break at once does not come back in one instant, nor is discovery asked without end. */
    @Test
    void triesAreDrawnApartAndBounded() throws IOException {
        List<Long> firstTries = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            Watch watch = watch(seed);
            watch.begin();
            answer(next(), 42, "ready");
            SocketChannel broken = next();
            long at = now;
            fail(broken, Fault.BUSY);
            next();
            firstTries.add(now - at);
            watch.moveTo(new InetSocketAddress("127.0.0.1", 1)); // it goes on elsewhere, in vain
        }
        assertThat(firstTries.stream().distinct().count()).isGreaterThan(2);
        calls.clear();
        watch(9).begin();
        long since = now;
        while (now - since < 10_000 * MILLI) {
            SocketChannel call = take();
            if (call != null) {
                fail(call, Fault.BUSY);
            }
            step();
        }
        assertThat(calls).hasSizeLessThan(30);
    }

    /** The next connection or call on one, with its question read. */
    private SocketChannel next() throws IOException {
        for (int i = 0; i < 5_000; i++) {
            SocketChannel call = take();
            if (call != null) {
                return call;
            }
            step();
        }
        throw new AssertionError("no call came; so far " + calls);
    }

    private SocketChannel take() throws IOException {
        loop.round(0);
        for (SocketChannel accepted; discovery.isOpen() && (accepted = discovery.accept()) != null; ) {
            accepted.configureBlocking(false);
            open.add(accepted);
        }
        for (SocketChannel channel : open) {
            ByteBuffer in = ByteBuffer.allocate(4096);
            if (channel.isOpen() && channel.read(in) > 0) {
                calls.add(StandardCharsets.US_ASCII.decode(in.flip()).toString().split(" ")[1]);
                return channel;
            }
        }
        return null;
    }

    private void step() throws IOException {
        now += STEP_MILLIS * MILLI;
        loop.round(0);
    }

    private void await(BooleanSupplier condition) throws IOException {
        for (int i = 0; i < 5_000 && !condition.getAsBoolean(); i++) {
            loop.round(MILLI);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private static String list(int seq, String health) {
        return new JSONObject("{'seq':" + seq + ",'whole':true,'hosts':[{'host':'s1','dial':'127.0.0.1:9','site':'a',"
                        + "'class':'box','health':'" + health + "','share':1,'born_ms':0}]}")
                .toString(1); // lists may come indented
    }

    private static String reply(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void write(SocketChannel to, String text) throws IOException {
        to.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    private void answer(SocketChannel call, int seq, String health) throws IOException {
        write(call, reply(list(seq, health)));
    }

    private void fail(SocketChannel call, Fault fault) throws IOException {
        switch (fault) {
            case SILENT -> {}
            case RESET -> {
                call.setOption(StandardSocketOptions.SO_LINGER, 0);
                call.close();
            }
            case ENDED -> call.close();
            case REFUSED -> refuse(call);
            case BUSY -> write(call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case HALF -> write(call, reply(list(43, "draining")).substring(0, 90));
            case SPOILT -> write(call, reply("{\"seq\":43,\"whole\":true,\"hosts\":[{\"host\"}"));
            case OLDER -> answer(call, 41, "ready");
            default -> throw new AssertionError(fault);
        }
    }

    /** Nothing listens for as long as the first try takes to come and the next one to be due. */
    private void refuse(SocketChannel call) throws IOException {
        int at = discovery.socket().getLocalPort();
        discovery.close();
        if (call != null) {
            call.close();
        }
        for (int i = 0; i < 12; i++) {
            step();
        }
        discovery = listen(at);
    }
}
