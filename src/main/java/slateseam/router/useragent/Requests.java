package slateseam.router.useragent;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import slateseam.decision.Api.Tenant;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.net.Slots;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Facts;
import slateseam.router.request.Front;
import slateseam.router.request.Intake;
import slateseam.router.request.Request;
import slateseam.router.request.Version;
import slateseam.router.request.Versions;

/** Turns the commands of all listeners into requests to the core and delivers the answers. */
public final class Requests implements Front {
    private static final int READ_ITEMS = 4;
    private static final int WRITE_ITEMS = 5;

    /** A request whose answer is pending. */
    public abstract static class Open {
        private long number = -1;
        private long request = -1;
        private long waitNanos;
        private int tenant = -1;
        /** The id of the request while it is open. */
        private String id;

        /** Called once, with the final answer; returns the answer that the user agent gets. */
        protected abstract Answer answered(Answer answer);

        /** Returns whether a long value may be delivered as a stream instead of as a whole. */
        protected boolean streams() {
            return false;
        }

        /** Returns false if the user agent has left, or if that cannot be excluded. */
        protected abstract boolean isPresent();

        /** Returns the number of the requesting tenant; -1 before {@link Requests#take}. */
        public final int tenant() {
            return tenant;
        }

        /** Returns how long the user agent waits for the answer, in nanoseconds. */
        public final long waitNanos() {
            return waitNanos;
        }
    }

    private final Intake core;
    private final Versions versions;
    private final List<String> tenants;
    private final Slots<Open> open;
    /**
     * The ids of the requests whose answers are pending, and of those that may still run though their user agents have
     * left; an id may be used again once its request is over.
     */
    private final Set<String> openIds = new HashSet<>();

    /**
     * Creates an empty table.
     *
     * @param maxHeld the maximum number of requests that the core holds
     */
    public Requests(Intake core, Versions versions, int maxHeld) {
        this.core = core;
        this.versions = versions;
        this.tenants = versions.current().settings().tenants().stream()
                .map(Tenant::name)
                .toList();
        this.open = new Slots<>(maxHeld + 1); // one extra slot for a request that is being refused
    }

    /**
     * Passes a command to the core as a request. Returns null, or the error line to send if the command is invalid.
     */
    public ByteBuffer[] take(List<ByteBuffer> command, boolean write, Open asked) {
        if (command.size() != (write ? WRITE_ITEMS : READ_ITEMS)) {
            return Replies.line("-ERR wrong number of arguments");
        }
        byte[] facts = Bytes.copy(command.get(3));
        byte[] key = Bytes.copy(command.get(1));
        byte[] id = Bytes.copy(command.get(2));
        if (!isPlain(key) || !isPlain(id) || !isPlain(facts)) {
            return Replies.line("-ERR a key, id or fact is no visible ASCII");
        }
        String openId = Bytes.text(ByteBuffer.wrap(id));
        // With two open requests of the same id, their answers could not be told apart.
        if (openIds.contains(openId)) {
            return Replies.line("-ERR a request with this id is open");
        }
        Version version = versions.current();
        int type = version.number(Facts.value(facts, 'c'));
        String wait = Facts.value(facts, 'd');
        long waitMillis = wait == null ? -1 : Bytes.number(wait);
        if (type < 0 || waitMillis < 0) {
            return Replies.line("-ERR unknown class or no time to wait");
        }
        int tenant = tenants.indexOf(Facts.value(facts, 't'));
        asked.waitNanos = waitMillis * Clock.MILLI;
        asked.tenant = tenant < 0 ? tenants.size() : tenant;
        long ttl = Math.min(asked.waitNanos, version.type(type).deadlineNanos());
        Request request = new Request(
                key,
                id,
                facts,
                write ? Bytes.copy(command.get(4)) : null,
                version,
                type,
                asked.tenant,
                "1".equals(Facts.value(facts, 'r')),
                ttl,
                asked.streams());
        asked.number = open.add(asked);
        asked.id = openId;
        openIds.add(openId);
        asked.request = core.arrived(request, this, asked.number);
        return null;
    }

    /** Withdraws a request if its answer is still pending; an answer that arrives later is discarded. */
    public void withdraw(Open asked, Ending why) {
        if (open.remove(asked.number) != null) {
            core.withdrawn(asked.request, why, () -> openIds.remove(asked.id));
        }
    }

    @Override
    public Answer answer(long exchange, Answer answer) {
        Open asked = open.remove(exchange);
        if (asked != null) {
            openIds.remove(asked.id);
            return asked.answered(answer);
        }
        if (answer instanceof Answer.Streamed streamed) {
            streamed.value().stop(Ending.LEFT);
        }
        return answer;
    }

    @Override
    public boolean isPresent(long exchange) {
        Open asked = open.get(exchange);
        return asked != null && asked.isPresent();
    }

    /** Accepts only visible ASCII, as keys, ids and facts are written into the HTTP head of origin fetches. */
    private static boolean isPlain(byte[] text) {
        for (byte b : text) {
            if (!Bytes.isVisible(b)) {
                return false;
            }
        }
        return text.length > 0;
    }
}
