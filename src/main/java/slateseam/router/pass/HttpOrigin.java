package slateseam.router.pass;

import java.nio.ByteBuffer;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Bytes;
import slateseam.router.net.Connection;
import slateseam.router.net.HttpHead;
import slateseam.router.net.HttpReply;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Facts;
import slateseam.router.request.Request;

/** The HTTP/1.1 protocol of the origin. */
final class HttpOrigin implements ServerProtocol {
    private final String host;

    HttpOrigin(String host) {
        this.host = host;
    }

    @Override
    public ByteBuffer[] command(Request request, long waitMillis) {
        StringBuilder head = head(request.isWrite() ? "PUT" : "GET", "/" + text(request.key()));
        head.append("X-Correlation-Id: ")
                .append(text(request.id()))
                .append("\r\nX-Facts: ")
                .append(text(Facts.withTimeLeft(request.facts(), waitMillis)))
                .append("\r\n");
        if (!request.isWrite()) {
            return new ByteBuffer[] {bytes(head.append("\r\n"))};
        }
        head.append("Content-Length: ").append(request.value().length).append("\r\n\r\n");
        return new ByteBuffer[] {bytes(head), ByteBuffer.wrap(request.value())};
    }

    @Override
    public ByteBuffer[] probe() {
        return new ByteBuffer[] {bytes(head("GET", "/-/healthy").append("\r\n"))};
    }

    /** A good reply to a probe has the form of an answer. */
    @Override
    public boolean hasFence() {
        return false;
    }

    @Override
    public boolean beginsReply(ByteBuffer in) {
        return in.get(in.position()) == 'H';
    }

    private StringBuilder head(String method, String path) {
        return new StringBuilder(method)
                .append(' ')
                .append(path)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
    }

    @Override
    public Reply reply(ByteBuffer in) throws MalformedException {
        return reply(HttpReply.read(in));
    }

    @Override
    public Reply replyAtEnd(ByteBuffer in) throws MalformedException {
        return reply(HttpReply.readAtEnd(in));
    }

    @Override
    public boolean endsWithConnection(ByteBuffer in) throws MalformedException {
        return HttpReply.endsWithConnection(in);
    }

    private static Reply reply(HttpReply reply) {
        if (reply == null) {
            return null;
        }
        boolean neverRan = (reply.status() == 503 || reply.status() == 504)
                && reply.headers().getOrDefault("x-unprocessed", "").equals("1");
        Outcome outcome = reply.status() == 200 ? Outcome.OK : neverRan ? Outcome.FULL : Outcome.ERROR;
        return new Reply(outcome, false, outcome == Outcome.OK ? reply.body() : null, reply.keepsAlive());
    }

    @Override
    public LongReplyHead readLongReplyHead(ByteBuffer in) throws MalformedException {
        int start = in.position();
        HttpHead head = HttpHead.read(in);
        int length = head == null || head.status() != 200 || head.isChunked() || head.length() == null
                ? -1
                : Bytes.number(head.length());
        if (length <= Connection.LONG_VALUE || length > Connection.VALUE_LIMIT) {
            in.position(start);
            return null;
        }
        return new LongReplyHead(length, 0, head.keepsAlive());
    }

    @Override
    public boolean skipRest(ByteBuffer in, LongReplyHead head) {
        return true;
    }

    @Override
    public Reply probeReply(ByteBuffer in) throws MalformedException {
        Reply reply = reply(in);
        return reply == null ? null : new Reply(reply.outcome(), false, null, reply.reusable());
    }

    private static String text(byte[] bytes) {
        return Bytes.text(ByteBuffer.wrap(bytes));
    }

    private static ByteBuffer bytes(StringBuilder text) {
        return ByteBuffer.wrap(Bytes.of(text.toString()));
    }
}
