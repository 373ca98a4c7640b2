package slateseam.router.connections.useragents;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates user agents of a {@link UserAgentRoom} in virtual time: a front that follows its decisions, and user
 * agents that together hold a limited number of connections for requests. A user agent notices the close of a
 * connection 2 ms later.
 */
final class Crowd {
    static final long MILLI = 1_000_000L;
    private static final long SEEN = 2 * MILLI;
    private static final long REQUEST = 50 * MILLI;

    private record Due(long at, long number, Runnable action) {}

    /** One connection, with the state of both sides. */
    final class Link {
        final String address;
        final Kept kept;
        boolean closed;

        Link(String address) {
            this.address = address;
            this.kept = room.opened(this, address, 0, now);
            links.add(this);
        }

        /** Sends a request on the connection; {@code then} runs when it is answered. */
        void ask(int tenant, Runnable then) {
            room.enters(kept, Phase.BUSY, now);
            room.asksFor(kept, tenant);
            served++;
            after(REQUEST, () -> {
                room.enters(kept, Phase.IDLE, now);
                look();
                then.run();
            });
        }

        boolean isUsable() {
            return !closed && kept.phase() == Phase.IDLE;
        }
    }

    final UserAgentRoom room;
    final int table;
    final int held;
    final Random random = new Random(7);
    final List<Link> links = new ArrayList<>();
    final Map<String, Integer> unreached = new HashMap<>();
    private final PriorityQueue<Due> dues =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long numbers;
    private long looking = Long.MAX_VALUE;
    long now;
    int mostOpen;
    int served;

    Crowd(int table, int held) {
        this.room = new UserAgentRoom(table, held);
        this.table = table;
        this.held = held;
    }

    void after(long nanos, Runnable action) {
        dues.add(new Due(now + nanos, numbers++, action));
    }

    void runFor(long nanos) {
        long end = now + nanos;
        while (!dues.isEmpty() && dues.peek().at <= end) {
            Due due = dues.poll();
            now = due.at;
            due.action.run();
        }
        now = end;
    }

    /** Returns a new connection of a user agent; null if the limit of the user agents or of the front is reached. */
    Link open(String address) {
        boolean reached =
                links.stream().filter(link -> link.kept.phase() != Phase.GONE).count() < held;
        if (reached && !room.isCrowding(address, now)) {
            makeRoom();
        }
        if (!reached || room.isFull() || room.isCrowding(address, now)) {
            unreached.merge(address, 1, Integer::sum);
            return null;
        }
        Link link = new Link(address);
        mostOpen = Math.max(mostOpen, room.open() + room.ending());
        look();
        return link;
    }

    private void makeRoom() {
        for (int i = 0; i < 16 && room.isFull(); i++) {
            Kept ending = room.endingForLongest(now);
            Kept goes =
                    ending != null ? ending : room.surplus(now) != null ? room.surplus(now) : room.halfForLongest(now);
            if (goes == null) {
                return;
            }
            if (goes.phase() == Phase.ENDING) {
                gone((Link) goes.owner());
            } else {
                end(goes);
            }
        }
    }

    private void look() {
        for (Kept kept; (kept = room.surplus(now)) != null; ) {
            end(kept);
        }
        long next = room.lookAgain(now);
        if (next < looking) {
            looking = next;
            after(next - now, () -> {
                looking = Long.MAX_VALUE;
                look();
            });
        }
    }

    private void end(Kept kept) {
        room.ends(kept, Cause.ROOM, now);
        after(SEEN, () -> gone((Link) kept.owner()));
    }

    private void gone(Link link) {
        if (!link.closed) {
            link.closed = true;
            room.closed(link.kept, Cause.LEFT, now);
            links.remove(link);
        }
    }

    /**
     * Opens connections of new user agents at the given rate per second; each sends one request and keeps its
     * connection.
     */
    void once(String address, double perSecond, long until) {
        if (now < until) {
            after((long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond), () -> once(address, perSecond, until));
            Link link = open(address);
            if (link != null) {
                after(MILLI / 2, () -> link.ask(0, () -> {}));
            }
        }
    }

    /**
     * Simulates a user agent that sends its next request a fixed time after each answer, on its connection if that
     * is still open.
     */
    void regular(String address, int tenant, long every, long until, int[] reopened, Link has) {
        if (now >= until) {
            return;
        }
        Link link = has != null && has.isUsable() ? has : open(address);
        if (link != has) {
            reopened[0]++;
        }
        if (link == null) {
            after(every, () -> regular(address, tenant, every, until, reopened, null));
        } else {
            link.ask(tenant, () -> after(every, () -> regular(address, tenant, every, until, reopened, link)));
        }
    }
}
