package slateseam.router.multiget;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import slateseam.router.config.NodeConfig;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Bytes;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Front;
import slateseam.router.request.Intake;
import slateseam.router.request.Request;
import slateseam.router.request.Versions;
import slateseam.router.useragent.Exchange;
import slateseam.router.useragent.Requests;

/**
 * Covers two rare cases of a batch: reads that get no answer in time must time out one by one, and many long values
 * that wait for the slowest read must not fill the heap.
 */
class MultiGetTest {
    private static final long MILLI = 1_000_000L;
    private static final int MAX_KEYS = 64;

    private final List<Long> asked = new ArrayList<>();
    private final List<Long> left = new ArrayList<>();
    private long now;
    private final Loop loop = new Loop(() -> now, new Log("n0", () -> now, line -> {}));
    private final Requests requests = new Requests(
            new Intake() {
                @Override
                public long arrived(Request request, Front front, long exchange) {
                    asked.add(exchange);
                    return exchange;
                }

                @Override
                public void withdrawn(long ticket, Ending why, Runnable released) {
                    released.run();
                    left.add(ticket);
                }
            },
            new Versions(NodeConfig.parse(Files.readString(Path.of("examples/config.json")))
                    .settings()),
            1_000);
    private final MultiGet multiGet = new MultiGet(loop, requests, new Lifecycle(), MAX_KEYS, 2_000 * MILLI, 10_000);

    private boolean hasRoom = true;
    private final Exchange.Pipeline pipeline = new Exchange.Pipeline() {
        @Override
        public void answered() {}

        @Override
        public boolean reserve(Exchange exchange, long bytes) {
            return hasRoom;
        }

        @Override
        public boolean isPresent() {
            return true;
        }
    };

    MultiGetTest() throws Exception {}

    private Exchange begin(int... waits) throws Exception {
        asked.clear();
        Exchange batch = multiGet.exchange(pipeline);
        batch.take(command("SLATE.MGET", Integer.toString(waits.length)));
        for (int i = 0; i < waits.length; i++) {
            batch.take(command("CACHE.GET", "k" + i, "i" + i, "c=read,t=acme,d=" + waits[i]));
        }
        return batch;
    }

    private static List<ByteBuffer> command(String... words) {
        return Stream.of(words).map(word -> ByteBuffer.wrap(Bytes.of(word))).toList();
    }

    private void serve(int element, int bytes) {
        requests.answer(asked.get(element), new Answer.Served(new byte[bytes]));
    }

    private static String text(Exchange batch) {
        return Stream.of(batch.answer()).map(Bytes::text).collect(Collectors.joining());
    }

    @Test
    void eachElementHasItsOwnDeadlineAndALateAnswerGoesNowhere() throws Exception {
        Exchange batch = begin(480, 100, 480);
        serve(0, 1);
        now = 99 * MILLI;
        loop.round(0);
        assertThat(left).isEmpty();
        now = 100 * MILLI;
        loop.round(0);
        assertThat(left).containsExactly(asked.get(1));
        assertThat(batch.answer()).isNull();
        serve(1, 1);
        serve(2, 2);
        assertThat(text(batch)).isEqualTo("*4\r\n$7\r\npartial\r\n$1\r\n\0\r\n-TIMEOUT\r\n$2\r\n\0\0\r\n");
        now = 500 * MILLI;
        loop.round(0);
        assertThat(left).hasSize(1);
    }

    @Test
    void manyLongValuesThatWaitForTheSlowestOfTheirBatchAreBounded() throws Exception {
        int[] waits = new int[MAX_KEYS];
        Arrays.fill(waits, 480);
        Exchange first = begin(waits);
        for (int i = 0; i < MAX_KEYS; i++) {
            serve(i, 1_000);
        }
        assertThat(text(first)).startsWith("*65\r\n$7\r\npartial\r\n$1000\r\n").endsWith("-BUSY 2000\r\n".repeat(54));
        // Values held by one batch reduce the room for others until its reply is handed over or the batch is
        // withdrawn.
        Exchange second = begin(480, 480);
        serve(0, 1);
        first.handedOver();
        serve(1, 1_000);
        assertThat(text(second)).startsWith("*3\r\n$7\r\npartial\r\n-BUSY 2000\r\n$1000\r\n");
        second.withdraw();
        Exchange third = begin(480, 480);
        serve(0, 10_000);
        third.withdraw();
        assertThat(left).containsExactly(asked.get(1));
        Exchange fourth = begin(480);
        serve(0, 10_000);
        assertThat(text(fourth)).startsWith("*2\r\n$5\r\nwhole\r\n$10000\r\n");
    }

    /** Guards the heap: batches of slow readers had a bound of their own, which counted nothing else. */
    @Test
    void aValueThatFindsNoRoomInTheRoutersMemoryIsRefused() throws Exception {
        Exchange batch = begin(480, 480);
        serve(0, 1);
        hasRoom = false;
        serve(1, 1);
        assertThat(text(batch)).isEqualTo("*3\r\n$7\r\npartial\r\n$1\r\n\0\r\n-BUSY 2000\r\n");
    }
}
