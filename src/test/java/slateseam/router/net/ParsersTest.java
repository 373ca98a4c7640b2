package slateseam.router.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The parsers, wherever the bytes are cut, and on what can never become a message. */
class ParsersTest {
    /** Reads from a buffer; null while the message is not whole. */
    private interface Parser<T> {
        T read(ByteBuffer in) throws MalformedException;
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the message after checking that no shorter beginning is taken for a whole one. */
    private static <T> T readWhole(Parser<T> parser, String message) throws MalformedException {
        for (int length = 0; length < message.length(); length++) {
            ByteBuffer part = bytes(message.substring(0, length));
            assertThat(parser.read(part)).isNull();
            assertThat(part.position()).isZero();
        }
        ByteBuffer in = bytes(message + "rest");
        T read = parser.read(in);
        assertThat(in.remaining()).isEqualTo("rest".length());
        return read;
    }

    @Test
    void aRespAnswerIsReadWhereverItIsCut() throws Exception {
        Resp.Value value = readWhole(Resp::reply, "*4\r\n$3\r\na\r\n\r\n$-1\r\n+hit\r\n*0\r\n");
        assertThat(value.items()).hasSize(4);
        assertThat(value.items().get(0).text()).isEqualTo("a\r\n");
        assertThat(value.items().get(1).isBulk()).isFalse();
        assertThat(value.items().get(2).text()).isEqualTo("hit");
    }

    @Test
    void anHttpAnswerIsReadWhereverItIsCut() throws Exception {
        HttpReply reply = readWhole(
                HttpReply::read,
                "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nConnection: Close\r\n" + "content-length: 4\r\n\r\n\r\n\r\n");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.headers()).containsEntry("x-unprocessed", "1");
        assertThat(reply.keepsAlive()).isFalse();
        assertThat(reply.body()).hasSize(4);
    }

    @Test
    void aChunkedHttpAnswerIsReadWhereverItIsCut() throws Exception {
        HttpReply reply = readWhole(
                HttpReply::read,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n");
        assertThat(new String(reply.body(), StandardCharsets.US_ASCII)).isEqualTo("abc0123456789");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "*1\r\n+PING\r\n",
                "*0\r\n",
                "*-1\r\n",
                "*1025\r\n",
                "*1\r\n$4194305\r\n",
                "*1\r\n$-2\r\n",
                "*x\r\n",
                "*\r\n",
                "*1\r\n$\r\n",
                "PING\r\n",
                "*1\r\n$1\r\nab\r\n",
                "*1\r\n*1\r\n*1\r\n*1\r\n",
                "*1\r\n\r\n"
            })
    void whatIsNoCommandIsMalformed(String text) {
        assertThatThrownBy(() -> Resp.command(bytes(text))).isInstanceOf(MalformedException.class);
    }

    @Test
    void aLineWithoutAnEndIsMalformed() {
        assertThatThrownBy(() -> Resp.reply(bytes("+" + "x".repeat(2000)))).isInstanceOf(MalformedException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SSH-2.0\r\n",
                "HTTP/1.1 20 OK\r\n",
                "HTTP/1.1 200 OK\r\nnameless\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"
            })
    void whatIsNoHttpAnswerIsMalformed(String text) {
        assertThatThrownBy(() -> HttpReply.read(bytes(text))).isInstanceOf(MalformedException.class);
    }

    /** A head that never ends may give each of its lines the same name. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Load: a=1\r\n", "X-%d: a=1\r\n"})
    void aHeadThatNeverEndsIsMalformedAfterItsMostLines(String line) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        for (int i = 0; i < HttpHead.MOST_HEADERS; i++) {
            head.append(String.format(line, i));
        }
        assertThat(HttpReply.read(bytes(head.toString()))).isNull();
        assertThat(HttpReply.read(bytes("HTTP/1.1 204 None" + head.substring(15) + "\r\n")))
                .isNotNull();
        head.append(String.format(line, HttpHead.MOST_HEADERS));
        assertThatThrownBy(() -> HttpReply.read(bytes(head.toString()))).isInstanceOf(MalformedException.class);
    }

    @Test
    void aBodyOfChunksThatNeverEndsIsMalformedAfterItsMostChunks() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String most = head + "1\r\nx\r\n".repeat(HttpReply.MOST_CHUNKS - 1);
        assertThat(HttpReply.read(bytes(most))).isNull();
        assertThat(HttpReply.read(bytes(most + "0\r\n\r\n")).body()).hasSize(HttpReply.MOST_CHUNKS - 1);
        assertThatThrownBy(() -> HttpReply.read(bytes(most + "1\r\nx\r\n"))).isInstanceOf(MalformedException.class);
    }
}
