package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import slateseam.router.config.NodeConfig;
import slateseam.router.core.Core;
import slateseam.router.farm.Farm;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.MessageMemory;
import slateseam.router.pass.Passes;
import slateseam.simulate.network.ScriptedServer.Script;

/**
 * A request that is ended at each stage of its way, in each way that it can be: afterwards everything is as if it had never
 * been, one count rose at most, and the next request gets its own answer.
 */
class StagesTest {
    private static final String LONG_VALUE = "x".repeat(50_000);

    /** How far the request has come. */
    enum Stage {
        HALF_COMMAND,
        HELD_FOR_SUPPLY,
        CONNECTING,
        HALF_WRITTEN,
        WRITTEN,
        HALF_ANSWERED,
        ORIGIN_CONNECTING,
        ORIGIN_WRITTEN,
        ORIGIN_STREAMING,
        ANSWER_UNREAD
    }

    /** What then happens. */
    enum End {
        LEFT,
        DEADLINE,
        SERVER_GONE,
        DRAIN,
        PLANNED_END
    }

    static Stream<Arguments> all() {
        return Stream.of(Stage.values())
                .flatMap(stage -> Stream.of(End.values()).map(end -> Arguments.of(stage, end)));
    }

    private final RouterStage stage;
    private final Script script = new Script();
    private final Core core;
    private final Passes passes;

    StagesTest() throws Exception {
        Conditions calm = Conditions.calm();
        stage = new RouterStage(calm.with(new Conditions.Streams(4_096, 4_096, 0, 0, 0, 0, 0, 0)), 5);
        ScriptedServer.serve(stage, script);
        core = (Core) field(stage.router, "core");
        passes = (Passes) field(stage.router, "passes");
    }

    private static Object field(Object of, String... path) throws ReflectiveOperationException {
        Object at = of;
        for (String name : path) {
            Field field = at.getClass().getDeclaredField(name);
            field.setAccessible(true);
            at = field.get(at);
        }
        return at;
    }

    /** Brings a request to the stage. */
    private Teller bring(Stage to) throws Exception {
        Teller userAgent = stage.userAgentAfter(50);
        String asks = command("CACHE.GET", "stage", "first", "c=read,t=acme,d=800");
        switch (to) {
            case HALF_COMMAND -> asks = asks.substring(0, asks.length() - 9);
            case HELD_FOR_SUPPLY -> {
                script.cache = "*1\r\n$-1\r\n";
                Object account = field(core, "brain", "budgets", "origin");
                set(account, "rate", 1e-9);
                set(account, "tokens", 0);
            }
            case CONNECTING -> stage.net.silence("10.0.3.1", true);
            case HALF_WRITTEN -> {
                script.deaf = true;
                asks = command("CACHE.SET", "stage", "first", "c=once,t=acme,d=800", LONG_VALUE);
            }
            case WRITTEN -> script.cache = "";
            case HALF_ANSWERED -> script.cache = "*1\r\n$LENGTH\r\nKE";
            case ORIGIN_CONNECTING -> {
                script.cache = "*1\r\n$-1\r\n";
                stage.net.silence("10.0.3.9", true);
            }
            case ORIGIN_WRITTEN -> {
                script.cache = "*1\r\n$-1\r\n";
                script.origin = "";
            }
            case ORIGIN_STREAMING -> {
                script.cache = "*1\r\n$-1\r\n";
                script.origin = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + LONG_VALUE;
            }
            case ANSWER_UNREAD -> {
                script.cache = "*1\r\n$50000\r\n" + LONG_VALUE + "\r\n";
                userAgent.wire.pause(true);
            }
        }
        userAgent.wire.write(Teller.bytes(asks));
        for (int i = 0; i < 40 && to == Stage.HALF_WRITTEN && core.open() == 0; i++) {
            stage.run(50); // a long command comes through a narrow window
        }
        stage.run(60);
        boolean over = to == Stage.HALF_COMMAND || to == Stage.ORIGIN_STREAMING || to == Stage.ANSWER_UNREAD;
        // A long answer is under way until its end, though its attempt is decided and out of the passes' table.
        boolean open = !over || to == Stage.ORIGIN_STREAMING;
        assertThat(core.open()).as("requests open at " + to).isEqualTo(open ? 1 : 0);
        List<?> out = List.copyOf(((Map<?, ?>) field(passes, "byTicket")).values());
        assertThat(out).as("passes out at " + to).hasSize(over || to == Stage.HELD_FOR_SUPPLY ? 0 : 1);
        boolean written = to != Stage.CONNECTING && to != Stage.ORIGIN_CONNECTING && to != Stage.HALF_WRITTEN;
        assertThat(out).allMatch(pass -> ((slateseam.router.connections.servers.Use) pass).isWritten() == written);
        return userAgent;
    }

    private static void set(Object of, String name, double value) throws ReflectiveOperationException {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        field.setDouble(of, value);
    }

    private void tell(String health) throws Exception {
        Farm farm = (Farm) field(passes, "farm");
        JSONArray hosts = new JSONArray();
        for (String[] host : new String[][] {{"s1", "10.0.3.1:6379", "box"}, {"o", "10.0.3.9:80", "origin"}}) {
            hosts.put(new JSONObject()
                    .put("host", host[0])
                    .put("dial", host[1])
                    .put("site", "a")
                    .put("class", host[2])
                    .put("health", health));
        }
        var changed =
                farm.take(new JSONObject().put("seq", 50).put("whole", false).put("hosts", hosts), false);
        passes.farmChanged();
        core.happened(changed);
    }

    private void end(End how, Teller userAgent) throws Exception {
        switch (how) {
            case LEFT -> userAgent.wire.reset();
            case DEADLINE -> stage.run(900);
            case SERVER_GONE -> {
                stage.net.kill("10.0.3.1");
                stage.net.kill("10.0.3.9");
            }
            case DRAIN -> tell("draining");
            case PLANNED_END -> stage.router.end();
        }
    }

    @ParameterizedTest
    @MethodSource("all")
    void nothingOfItIsLeft(Stage at, End how) throws Exception {
        long before = counted();
        Teller userAgent = bring(at);
        end(how, userAgent);
        stage.run(1_200);
        if (at == Stage.ANSWER_UNREAD && how != End.LEFT) {
            userAgent.wire.reset(); // it has its answer and keeps its place for as long as it might read
        }
        stage.run(8_000);
        assertThat(left()).as("what is left").isEmpty();
        assertThat(counted() - before)
                .as("counts that rose")
                .isBetween(how == End.LEFT || at == Stage.HALF_COMMAND ? 0L : 1L, 1L);
        assertThat(stage.log).noneMatch(line -> line.contains("internal-error") || line.contains("overdue"));
        if (how == End.PLANNED_END) {
            assertThat(stage.process.isDriven()).as("whether it still runs").isFalse();
            assertThat(stage.process.open()).as("its descriptors").isZero();
        } else {
            theNextIsServed();
        }
    }

    /**
     * What happened: whoever read /stats during a fault saw a healthy service, as a long answer that was cut stood under success. Why: a
     * request's end was told when its answer began. What showed it: success 1 in /stats beside a user agent whose connection
     * broke within the value.
     */
    @Test
    void aLongAnswerThatIsCutIsNoSuccess() throws Exception {
        Teller userAgent = bring(Stage.ORIGIN_STREAMING);
        end(End.SERVER_GONE, userAgent);
        stage.run(6_000);
        // The connection ends within the value, so that the user agent can tell that it is not whole.
        assertThat(userAgent.happened).containsExactly("opened", "ended");
        assertThat(userAgent.got.toString()).startsWith("$200000\r\n").hasSizeLessThan(200_000);
        JSONObject reads =
                new JSONObject((String) stats()).getJSONObject("replies").getJSONObject("read");
        assertThat(reads.getLong("success")).isZero();
        assertThat(reads.getLong("error")).isEqualTo(1);
    }

    /**
     * What happened: a user agent that read slowly lost an answer that had been whole, as the long one behind it was cut. Why: the
     * connection was closed over what the system had had no room for yet. What showed it: 36 KB of a first answer of 50 KB, and the end.
     */
    @Test
    void answersAheadOfALongOneThatIsCutArriveWhole() throws Exception {
        Teller userAgent = stage.userAgentAfter(50);
        userAgent.wire.pause(true);
        script.cacheOf.put("short", "*1\r\n$50000\r\n" + LONG_VALUE + "\r\n");
        script.cache = "*1\r\n$-1\r\n";
        script.origin = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(5_000);
        userAgent.wire.write(Teller.bytes(command("CACHE.GET", "short", "first", "c=read,t=acme,d=1400")
                + command("CACHE.GET", "long", "second", "c=read,t=acme,d=1400")));
        stage.run(200);
        end(End.SERVER_GONE, userAgent);
        stage.run(100);
        userAgent.wire.pause(false);
        stage.run(6_000);
        assertThat(userAgent.got.toString()).startsWith("$50000\r\n" + LONG_VALUE + "\r\n");
        assertThat(userAgent.got.length()).isLessThan(250_000);
        assertThat(userAgent.happened).containsExactly("opened", "ended");
    }

    /** A long answer is under way until its last byte, and stands under no count before that. */
    @Test
    void aLongAnswerIsCountedAtItsEndAndIsConcurrentUntilThen() throws Exception {
        script.cache = "*1\r\n$300000\r\n" + "y".repeat(300_000) + "\r\n";
        Teller userAgent = stage.userAgentAfter(50);
        userAgent.wire.write(Teller.bytes(command("CACHE.GET", "stage", "first", "c=read,t=acme,d=1400")));
        stage.run(200);
        assertThat(userAgent.got.length()).as("in progress").isBetween(1, 290_000);
        JSONObject during = new JSONObject((String) stats());
        assertThat(during.getInt("concurrent")).isEqualTo(1);
        assertThat(during.getJSONObject("replies").getJSONObject("read").getLong("success"))
                .isZero();
        stage.run(20_000);
        JSONObject after = new JSONObject((String) stats());
        assertThat(after.getInt("concurrent")).isZero();
        assertThat(after.getJSONObject("replies").getJSONObject("read").getLong("success"))
                .isEqualTo(1);
    }

    /** Its user agent has left: nobody has seen how it ended, and it is under way no more. */
    @Test
    void aLongAnswerWhoseUserAgentLeavesIsUnderWayNoMore() throws Exception {
        Teller userAgent = bring(Stage.ORIGIN_STREAMING);
        end(End.LEFT, userAgent);
        stage.run(6_000);
        JSONObject after = new JSONObject((String) stats());
        assertThat(after.getInt("concurrent")).isZero();
        assertThat(after.getJSONObject("replies").getJSONObject("read").getLong("success"))
                .isZero();
    }

    /** A user agent that reads a long answer while its router is sent into a drain, and takes new settings there. */
    @Test
    void aLongAnswerInProgressAtADrainComesWholeAndNewSettingsLeaveTheDrainAsItIs() throws Exception {
        script.cache = "*1\r\n$300000\r\n" + "y".repeat(300_000) + "\r\n";
        Teller userAgent = stage.userAgentAfter(50);
        userAgent.wire.write(Teller.bytes(command("CACHE.GET", "stage", "first", "c=read,t=acme,d=1400")));
        stage.run(200);
        assertThat(userAgent.got.length()).as("in progress").isBetween(1, 290_000);
        Lifecycle lifecycle = (Lifecycle) field(stage.router, "lifecycle");
        assertThat(lifecycle.drain()).isTrue();
        stage.router.reload((NodeConfig) field(stage.router, "used"));
        stage.run(20_000);
        assertThat(userAgent.got).hasToString("$300000\r\n" + "y".repeat(300_000) + "\r\n");
        assertThat(userAgent.happened).startsWith("opened", "ended");
        assertThat(lifecycle.state()).isEqualTo(Lifecycle.State.DRAINED);
        Teller asks = stage.userAgentAfter(50);
        asks.wire.write(Teller.bytes(command("PING")));
        stage.run(100);
        assertThat(asks.got.toString()).startsWith("-ERR");
        assertThat(lifecycle.resume()).isTrue();
        assertThat(stage.log)
                .anyMatch(line -> line.contains("reloaded"))
                .noneMatch(line -> line.contains("internal-error"));
    }

    /** Guards the heap: a write beyond what may be held is turned away at once, with a time to come back. */
    @Test
    void writesBeyondWhatMayBeHeldAreTurnedAway() throws Exception {
        Field most = Core.class.getDeclaredField("mostHeldBytes");
        most.setAccessible(true);
        most.setLong(core, 80_000);
        script.origin = "";
        List<Teller> writers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            writers.add(stage.userAgentAfter(50));
            writers.get(i)
                    .wire
                    .write(Teller.bytes(command("CACHE.SET", "w" + i, "w" + i, "c=once,t=acme,d=4000", LONG_VALUE)));
            stage.run(600); // through a narrow window; the first is given up 1.5 s after it came
        }
        assertThat(core.open()).isEqualTo(1);
        assertThat(writers.get(0).got.toString()).isEmpty();
        assertThat(writers.get(1).got).hasToString("-BUSY 2000\r\n");
        stage.run(6_000);
        assertThat(writers.get(0).got.toString()).isEqualTo("-ERR failed\r\n");
        assertThat(left()).isEmpty();
    }

    /** Guards descriptors on both sides: one that stops reading a long answer is stuck like one that reads no short one. */
    @Test
    void aLongAnswerThatNobodyReadsEndsAfterHalfAMinute() throws Exception {
        script.cache = "*1\r\n$300000\r\n" + "y".repeat(300_000) + "\r\n";
        Teller reader = stage.userAgentAfter(50);
        reader.wire.pause(true);
        reader.wire.write(Teller.bytes(command("CACHE.GET", "stuck", "stuck", "c=read,t=acme,d=1500")));
        stage.run(29_000);
        assertThat(connections()).as("within half a minute").isEqualTo(1);
        stage.run(2_000);
        assertThat(connections()).isZero();
        assertThat(stage.log).anyMatch(line -> line.contains("user-agent-stuck"));
        assertThat((Map<?, ?>) field(passes, "byLink"))
                .as("connections to servers")
                .isEmpty();
    }

    /**
     * Slow readers share the memory for answers: each has less of its value buffered as they become more, nobody is cut
     * off, and everyone else is served.
     */
    @Test
    void manySlowReadersAtOnceMeetTheBoundAndNobodyElseDoes() throws Exception {
        setHeap(4_000_000);
        script.cache = "*1\r\n$300000\r\n" + "y".repeat(300_000) + "\r\n";
        List<Teller> readers = new ArrayList<>();
        long most = 0;
        for (int i = 0; i < 30; i++) {
            Teller reader = stage.userAgentAfter(50);
            reader.wire.pause(true);
            reader.wire.write(Teller.bytes(command("CACHE.GET", "slow" + i, "slow" + i, "c=read,t=acme,d=1500")));
            readers.add(reader);
            stage.run(70);
            most = Math.max(most, unread());
        }
        script.cache = new Script().cache;
        Teller other = stage.userAgentAfter(50);
        other.wire.write(Teller.bytes(command("CACHE.GET", "quick", "quick", "c=read,t=acme,d=1500")));
        stage.run(100);
        assertThat(other.got).hasToString("$5\r\nquick\r\n");
        assertThat(most)
                .as("bytes that nobody reads; one answer's beginning for each beyond the bound at most")
                .isBetween(400_000L, 4_000_000L / 8 + 30 * 16 * 1_024);
        assertThat(connections()).as("those that are left").isEqualTo(31);
        readers.forEach(reader -> reader.wire.pause(false));
        stage.run(60_000);
        assertThat(readers)
                .allSatisfy(reader -> assertThat(reader.got.toString()).hasSize("$300000\r\n\r\n".length() + 300_000));
        assertThat(left()).isEmpty();
    }

    private void setHeap(long bytes) throws ReflectiveOperationException {
        for (Object of : List.of(stage.router.loop(), stage.router.loop().memory())) {
            Field heap = of.getClass().getDeclaredField("heapBytes");
            heap.setAccessible(true);
            heap.setLong(of, bytes);
        }
    }

    private int connections() throws Exception {
        return ((slateseam.router.net.Slots<?>) field(stage.router, "front", "userAgents")).size();
    }

    private long unread() throws Exception {
        long bytes = 0;
        for (Object userAgent : ((slateseam.router.net.Slots<?>) field(stage.router, "front", "userAgents")).all()) {
            bytes += ((slateseam.router.net.Connection) userAgent).unwrittenBytes();
        }
        return bytes;
    }

    private void theNextIsServed() throws Exception {
        Script usual = new Script();
        script.cache = usual.cache;
        script.origin = usual.origin;
        script.deaf = false;
        stage.net.silence("10.0.3.1", false);
        stage.net.silence("10.0.3.9", false);
        for (String address : List.of("10.0.3.1:6379", "10.0.3.9:80")) {
            stage.net.unlisten(address);
            stage.net.listen(address, wire -> new ScriptedServer(script, address.endsWith(":80")));
        }
        tell("ready");
        stage.run(2_000);
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Teller next = stage.userAgentAfter(50);
            next.wire.write(Teller.bytes(command("CACHE.GET", "next" + i, "second" + i, "c=read,t=acme,d=1500")));
            stage.run(1_600);
            answers.add(next.got.toString());
        }
        assertThat(answers)
                .contains("$5\r\nnext3\r\n")
                .allMatch(answer -> answer.startsWith("-BUSY") || answer.matches("\\$5\r\nnext\\d\r\n"));
    }

    private long counted() throws Exception {
        JSONObject replies = new JSONObject((String) stats()).getJSONObject("replies");
        long sum = 0;
        for (String of : replies.keySet()) {
            JSONObject one = replies.getJSONObject(of);
            sum += one.getLong("success") + one.getLong("overload") + one.getLong("error");
        }
        return sum;
    }

    private Object stats() throws ReflectiveOperationException {
        Object served = field(stage.router, "served");
        var json = served.getClass().getDeclaredMethod("json");
        json.setAccessible(true);
        return json.invoke(served);
    }

    /** What still holds anything of a request, by name. */
    private Map<String, Object> left() throws Exception {
        Map<String, Object> left = new TreeMap<>();
        for (String table : List.of("jobs", "byDueTime", "delayed", "awaitingSupply", "awaitingRoom", "fetches")) {
            Object all = field(core, "brain", "requests", table);
            if (!(all instanceof Map<?, ?> map ? map.isEmpty() : ((Collection<?>) all).isEmpty())) {
                left.put(table, all);
            }
        }
        for (Object server : ((Map<?, ?>) field(core, "brain", "cluster", "servers")).values()) {
            Field outstanding = server.getClass().getSuperclass().getDeclaredField("outstanding");
            outstanding.setAccessible(true);
            if (outstanding.getInt(server) != 0) {
                left.put("outstanding", server);
            }
        }
        for (String table : List.of("byTicket", "left")) {
            if (!((Map<?, ?>) field(passes, table)).isEmpty()) {
                left.put(table, field(passes, table));
            }
        }
        if (core.open() > 0 || (long) field(core, "heldBytes") != 0) {
            left.put("core", core.open());
        }
        MessageMemory memory = stage.router.loop().memory();
        if (memory.inputBytes() != 0 || memory.answerBytes() != 0) {
            left.put("memory", memory.inputBytes() + memory.answerBytes());
        }
        return left;
    }
}
