package slateseam.router.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.router.net.HttpHead;
import slateseam.router.net.MalformedException;

/** Bodies and the objects in them, cut at every byte. */
class JsonStreamTest {
    private static final String EVENTS = "{\"type\":\"A\",\"object\":{\"managedFields\":[{\"a\":\"]}\\\"\",\"b\":{}}],"
            + "\"n\":\"ü€\\\\\\u00e9\",\"items\":[{\"managedFields\":{}}]}}\n \r\n"
            + "{\"type\":\"B\",\"x\":[1,[2,{}]]}\n";
    private static final String LIST = "{\"kind\":\"L\",\"x\":{\"items\":[{\"no\":1}]},\"items\":[\n {\"a\":[{},{}]},\n"
            + "{\"managedFields\":1,\"b\":\"]}\"}],\"metadata\":{\"items\":[{\"c\":2}]}}\n";

    private static final class Kept implements JsonStream.Taker {
        final List<String> objects = new ArrayList<>();
        final List<String> begins = new ArrayList<>();

        @Override
        public void object(JSONObject object) {
            objects.add(object.toString());
        }

        @Override
        public void tooLong(String begin) {
            begins.add(begin);
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Kept take(String text) throws MalformedException {
        Kept kept = new Kept();
        JsonStream stream = new JsonStream(false, kept);
        stream.take(bytes(text));
        assertThat(stream.endsWell()).isTrue();
        return kept;
    }

    /** The text in chunks of so many bytes, read as two parts of the stream for each place where it can be cut. */
    private static void everyCut(String text, boolean list, List<String> objects, String around) throws Exception {
        byte[] json = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream chunked = new ByteArrayOutputStream();
        for (int i = 0; i < json.length; i += 13) {
            int length = Math.min(13, json.length - i);
            chunked.writeBytes((Integer.toHexString(length) + " ;x=\"y\"\r\n").getBytes(StandardCharsets.US_ASCII));
            chunked.write(json, i, length);
            chunked.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        chunked.writeBytes("0\r\nTrailer: x\r\n\r\nHTTP".getBytes(StandardCharsets.US_ASCII));
        byte[] all = chunked.toByteArray();
        for (int cut = 0; cut <= all.length; cut++) {
            Kept kept = new Kept();
            JsonStream stream = new JsonStream(list, kept);
            Body body = new Body(new HttpHead(200, Map.of("transfer-encoding", "chunked")));
            ByteBuffer rest = ByteBuffer.wrap(all);
            for (int end : new int[] {cut, all.length}) {
                rest.limit(end);
                for (ByteBuffer part; (part = body.next(rest)) != null; ) {
                    stream.take(part);
                }
            }
            assertThat(kept.objects).as("cut at %d", cut).isEqualTo(objects);
            assertThat(body.isOver() && stream.endsWell()).isTrue();
            assertThat(rest.remaining()).as("what follows is left").isEqualTo(4);
            if (list) {
                assertThat(stream.around().toString()).isEqualTo(around);
            }
        }
    }

    @Test
    void eventsAreReadWhereverTheyAreCut() throws Exception {
        everyCut(
                EVENTS,
                false,
                List.of(
                        new JSONObject("{\"type\":\"A\",\"object\":{\"managedFields\":null,\"n\":\"ü€\\\\é\","
                                        + "\"items\":[{\"managedFields\":null}]}}")
                                .toString(),
                        new JSONObject("{\"type\":\"B\",\"x\":[1,[2,{}]]}").toString()),
                null);
    }

    @Test
    void aListIsReadItemByItemWhereverItIsCut() throws Exception {
        everyCut(
                LIST,
                true,
                List.of(
                        new JSONObject("{\"a\":[{},{}]}").toString(),
                        new JSONObject("{\"managedFields\":null,\"b\":\"]}\"}").toString()),
                new JSONObject("{\"kind\":\"L\",\"x\":{\"items\":[{\"no\":1}]},\"items\":[],"
                                + "\"metadata\":{\"items\":[{\"c\":2}]}}")
                        .toString());
    }

    @Test
    void whatIsLongIsShortenedWhereNobodyNeedsItOrLeftOutAndTold() throws Exception {
        String text = "é".repeat(2_000_000);
        assertThat(take("{\"managedFields\":\"" + text + "\",\"a\":1}{\"b\":2}").objects)
                .containsExactly("{\"a\":1,\"managedFields\":null}", "{\"b\":2}");
        JSONObject shortened =
                new JSONObject(take("{\"a\":\"" + text + "\\u00e9\"}").objects.get(0));
        assertThat(shortened.getString("a")).isEqualTo("é".repeat(4_096));
        Kept kept = take("{\"name\":\"n\",\"a\":[" + "{\"x\":\"yyyyyyyy\"},".repeat(100_000) + "{}]}{\"b\":2}");
        assertThat(kept.objects).containsExactly("{\"b\":2}");
        assertThat(kept.begins)
                .hasSize(1)
                .allMatch(begin -> begin.startsWith("{\"name\":\"n\"") && begin.length() <= 512);
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage", "[{}]", "{]", "{\"a\":}", "{} 7", "{\"a\":1,\"a\":2}", "}", "{\"a\":[}"})
    void whatIsNoObjectIsRefused(String text) {
        assertThatThrownBy(() -> take(text)).isInstanceOf(MalformedException.class);
        assertThatThrownBy(() -> take("{\"a\":".repeat(100))).isInstanceOf(MalformedException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"x\r\n", "-1\r\n", "\r\n", "1\nA", "1\r\nAB", "11111111111111111\r\n"})
    void aChunkThatIsNoneIsRefused(String chunk) throws Exception {
        Body body = new Body(new HttpHead(200, Map.of("transfer-encoding", "chunked")));
        ByteBuffer in = bytes(chunk + "\r\n\r\n");
        assertThatThrownBy(() -> {
                    while (body.next(in) != null) {
                        assertThat(body.isOver()).isFalse();
                    }
                })
                .isInstanceOf(MalformedException.class);
    }
}
