package slateseam.router.pass;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.regex.Pattern;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Bytes;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.request.Facts;
import slateseam.router.request.Request;

/** RESP2, as application servers speak it. */
final class RespServer implements ServerProtocol {
    private static final byte[] GET = Bytes.of("*4\r\n$9\r\nCACHE.GET\r\n");
    private static final byte[] SET = Bytes.of("*5\r\n$9\r\nCACHE.SET\r\n");
    private static final byte[] PING = Bytes.of("*1\r\n$4\r\nPING\r\n");
    private static final byte[] CLIENT = Bytes.of("*1\r\n$6\r\nCLIENT\r\n");
    private static final Pattern ERROR = Pattern.compile("[A-Z]{2,}( .*)?");
    /** The value, and how it went. */
    private static final int NEEDED_ITEMS = 2;
    private static final byte[] LINE_END = Bytes.of("\r\n");

    @Override
    public ByteBuffer[] command(Request request, long waitMillis) {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.writeBytes(request.isWrite() ? SET : GET);
        for (byte[] part : List.of(request.key(), request.id(), Facts.withTimeLeft(request.facts(), waitMillis))) {
            head.writeBytes(Bytes.of("$" + part.length + "\r\n"));
            head.writeBytes(part);
            head.writeBytes(LINE_END);
        }
        if (!request.isWrite()) {
            return new ByteBuffer[] {ByteBuffer.wrap(head.toByteArray())};
        }
        head.writeBytes(Bytes.of("$" + request.value().length + "\r\n"));
        return new ByteBuffer[] {ByteBuffer.wrap(head.toByteArray()), ByteBuffer.wrap(request.value()),
                ByteBuffer.wrap(LINE_END)};
    }

    @Override
    public ByteBuffer[] probe() {
        return new ByteBuffer[] {ByteBuffer.wrap(PING)};
    }

    @Override
    public ByteBuffer fence() {
        return ByteBuffer.wrap(CLIENT);
    }

    /** Any line will do, as servers that do not know the command answer it with an error. */
    @Override
    public boolean passFence(ByteBuffer in) throws MalformedException {
        Resp.Value reply = Resp.reply(in, 0);
        if (reply != null && reply.type() != '+' && reply.type() != '-') {
            throw new MalformedException("an answer that belongs to nothing");
        }
        return reply != null;
    }

    @Override
    public Reply reply(ByteBuffer in) throws MalformedException {
        // Guards a good answer against the load report behind it, which nobody here reads.
        Resp.Value reply = Resp.reply(in, NEEDED_ITEMS);
        if (reply == null) {
            return null;
        }
        return switch (reply.type()) {
            case '*' -> answered(reply.items());
            case '-' -> failed(reply.text());
            default -> throw new MalformedException("an answer must be an array or an error");
        };
    }

    /** Guards against noise that happens to begin with a minus. */
    private static Reply failed(String text) throws MalformedException {
        if (!ERROR.matcher(text).matches()) {
            throw new MalformedException("an error must begin with a word in capitals");
        }
        return new Reply(text.startsWith("BUSY") ? Outcome.FULL : Outcome.ERROR);
    }

    private static Reply answered(List<Resp.Value> items) throws MalformedException {
        if (items.isEmpty() || items.get(0).type() != '$') {
            throw new MalformedException("an answer's array must begin with a bulk string");
        }
        boolean reusable = items.get(items.size() - 1).type() != Resp.UNREADABLE;
        if (!items.get(0).isBulk()) {
            boolean fetching = items.size() > 1 && items.get(1).text().equals("pending");
            return new Reply(Outcome.MISS, fetching, null, reusable);
        }
        return new Reply(Outcome.OK, false, Bytes.copy(items.get(0).bytes()), reusable);
    }

    @Override
    public Reply probeReply(ByteBuffer in) throws MalformedException {
        Resp.Value reply = Resp.reply(in);
        return reply == null ? null : new Reply(reply.type() == '+' ? Outcome.OK : Outcome.ERROR);
    }
}
