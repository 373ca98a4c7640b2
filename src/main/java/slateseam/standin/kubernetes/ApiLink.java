package slateseam.standin.kubernetes;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import slateseam.standin.Exchange;
import slateseam.standin.HttpReader;
import slateseam.standin.Link;
import slateseam.standin.UnreadableException;
import slateseam.standin.Wire;

/** A connection to the API: one request at a time. What it sends can be stopped, or cut off at a byte. */
final class ApiLink extends Link {
    /** What a stopped connection keeps; beyond it the connection is reset, as one that is not read. */
    private static final long MOST_HELD = 8L << 20;

    private final ApiServer server;
    private final HttpReader reader = new HttpReader(inbox);
    private final Deque<byte[]> held = new ArrayDeque<>();
    private long heldBytes;
    private boolean stalled;
    private long left = Long.MAX_VALUE;
    private boolean resets;

    ApiLink(ApiServer server, Wire wire) {
        super(server, wire, 1);
        this.server = server;
    }

    @Override
    protected Exchange next() throws UnreadableException {
        HttpReader.Request request = reader.next();
        try {
            return request == null ? null : new ApiCall(server, this, request);
        } catch (IllegalArgumentException e) {
            throw new UnreadableException("a path that cannot be decoded");
        }
    }

    @Override
    protected void begin(Exchange exchange) {
        if (exchange instanceof ApiCall call) {
            server.take(call);
        }
    }

    @Override
    protected byte[] unreadable() {
        return Http.whole(
                400, "Connection: close\r\n", Status.badRequest("not a request").json(), 1 << 20);
    }

    /** Sends nothing from now on, though it stays open, or sends all that was held back. */
    void stall(boolean stop) {
        stalled = stop;
        for (byte[] bytes; !stalled && (bytes = held.poll()) != null; ) {
            heldBytes -= bytes.length;
            send(bytes);
        }
    }

    /** Sends so many more bytes, then ends or resets the connection. */
    void cutAfter(long bytes, boolean byReset) {
        left = bytes;
        resets = byReset;
        if (left == 0) {
            over();
        }
    }

    @Override
    protected void send(byte[] bytes) {
        if (stalled) {
            held.add(bytes);
            heldBytes += bytes.length;
            if (heldBytes > MOST_HELD) {
                cut();
            }
        } else if (bytes.length < left) {
            left -= left == Long.MAX_VALUE ? 0 : bytes.length;
            super.send(bytes);
        } else {
            super.send(Arrays.copyOf(bytes, (int) left));
            left = 0;
            over();
        }
    }

    private void over() {
        if (resets) {
            cut();
        } else {
            end();
        }
    }
}
