package slateseam.router.pass;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.regex.Pattern;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Bytes;
import slateseam.router.net.Connection;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.request.Facts;
import slateseam.router.request.Request;

/** The RESP2 protocol of application servers. */
final class RespServer implements ServerProtocol {
    private static final byte[] GET = Bytes.of("*4\r\n$9\r\nCACHE.GET\r\n");
    private static final byte[] SET = Bytes.of("*5\r\n$9\r\nCACHE.SET\r\n");
    private static final byte[] PING = Bytes.of("*1\r\n$4\r\nPING\r\n");
    private static final String REPLY_TYPES = "*$+-:";
    private static final Pattern ERROR = Pattern.compile("[A-Z]{2,}( .*)?");
    /** The items of a reply that are read: the value, and a word about the state of the fetch. */
    private static final int PARSED_ITEMS = 2;

    private static final byte[] LINE_END = Bytes.of("\r\n");
    /**
     * Maximum framing of a bulk string in bytes: a dollar sign, up to ten digits and two line ends of two bytes
     * each.
     */
    private static final int MAX_FRAMING_BYTES = 15;

    @Override
    public ByteBuffer[] command(Request request, long waitMillis) {
        byte[] facts = Facts.withTimeLeft(request.facts(), waitMillis);
        ByteBuffer head = ByteBuffer.allocate(GET.length
                        + request.key().length
                        + request.id().length
                        + facts.length
                        + (request.isWrite() ? 4 : 3) * MAX_FRAMING_BYTES)
                .put(request.isWrite() ? SET : GET);
        item(head, request.key());
        item(head, request.id());
        item(head, facts);
        if (!request.isWrite()) {
            return new ByteBuffer[] {head.flip()};
        }
        length(head, request.value().length);
        return new ByteBuffer[] {head.flip(), ByteBuffer.wrap(request.value()), ByteBuffer.wrap(LINE_END)};
    }

    private static void item(ByteBuffer head, byte[] item) {
        length(head, item.length);
        head.put(item).put(LINE_END);
    }

    private static void length(ByteBuffer head, int length) {
        Bytes.putNumber(head.put((byte) '$'), length).put(LINE_END);
    }

    @Override
    public ByteBuffer[] probe() {
        return new ByteBuffer[] {ByteBuffer.wrap(PING)};
    }

    @Override
    public boolean hasFence() {
        return true;
    }

    @Override
    public boolean beginsReply(ByteBuffer in) {
        return REPLY_TYPES.indexOf(in.get(in.position())) >= 0;
    }

    @Override
    public Reply reply(ByteBuffer in) throws MalformedException {
        // Parses only the items that are used, so that an unreadable load report behind them, which the router does
        // not read, cannot invalidate a good reply.
        Resp.Value reply = Resp.reply(in, PARSED_ITEMS);
        if (reply == null) {
            return null;
        }
        return switch (reply.type()) {
            case '*' -> answered(reply.items());
            case '-' -> failed(reply.text());
            default -> throw new MalformedException("an answer must be an array or an error");
        };
    }

    @Override
    public LongReplyHead readLongReplyHead(ByteBuffer in) throws MalformedException {
        int start = in.position();
        int items = Resp.head(in, '*');
        int length = items > 0 ? Resp.head(in, '$') : -1;
        if (length <= Connection.LONG_VALUE) {
            in.position(start);
            return null;
        }
        return new LongReplyHead(length, items - 1, true);
    }

    @Override
    public boolean skipRest(ByteBuffer in, LongReplyHead head) throws MalformedException {
        return Resp.passEnd(in, head.items());
    }

    /** Rejects garbage that happens to begin with a minus sign: an error reply starts with a word in capitals. */
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
        if (reply != null && reply.type() != '+' && reply.type() != '-') {
            throw new MalformedException("the reply to a probe must be a simple string or an error");
        }
        return reply == null ? null : new Reply(reply.type() == '+' ? Outcome.OK : Outcome.ERROR);
    }
}
