package slateseam.router.useragent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import slateseam.router.connections.useragents.Cause;
import slateseam.router.connections.useragents.Kept;
import slateseam.router.connections.useragents.UserAgentRoom;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.Slots;

/**
 * The connections of user agents, which speak RESP2, on all listeners. Which of them stay is settled by the room; what
 * their commands mean is told by the dialect of the listener that they came to.
 */
public final class RespFront {
    /** Of the heap, for answers that are not read. */
    private static final int UNREAD_PART = 8;
    /** Of connections that are ended at a time for want of room in the table. */
    private static final int MOST_AT_ONCE = 16;

    private final Loop loop;
    private final Slots<UserAgent> userAgents;
    private final UserAgentRoom room;
    /** Connections that there may be now. */
    private int most;
    /** Of the longest class: an answer that is not read by then is of no use to anyone. */
    private long readNanos;

    private final List<Runnable> whenClosed = new ArrayList<>();
    private final Lifecycle lifecycle;
    private Deadline look;
    private int listeners;

    /**
     * Creates the front for at most so many connections, whatever listener they come to, of which user agents hold so many
     * for their requests.
     */
    public RespFront(Loop loop, Lifecycle lifecycle, long longestAnswerNanos, int mostConnections, int held) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.readNanos = longestAnswerNanos;
        this.userAgents = new Slots<>(mostConnections);
        this.most = mostConnections;
        this.room = new UserAgentRoom(mostConnections, held);
        lifecycle.whenLeaving(this::leave);
    }

    /** How many connections are open. */
    public int connections() {
        return userAgents.size();
    }

    /** There may be so many connections from now on, of which user agents hold so many; never more than at the start. */
    public void bound(int mostConnections, int held) {
        most = mostConnections;
        room.bound(mostConnections, held);
        lookSoon();
    }

    /** Answers are waited for as long as this from now on; what is out keeps its time. */
    public void longest(long longestAnswerNanos) {
        readNanos = Math.max(readNanos, longestAnswerNanos);
    }

    /** The room that connections have, for its figures. */
    public UserAgentRoom room() {
        return room;
    }

    /** Calls back after each close of a connection; further ones too. */
    public void onClose(Runnable action) {
        whenClosed.add(action);
    }

    /** The gate of a listener whose commands are of a dialect. */
    public Acceptor.Gate gate(Dialect dialect) {
        int listener = listeners++;
        return new Acceptor.Gate() {
            @Override
            public boolean makeRoom() {
                return RespFront.this.makeRoom();
            }

            @Override
            public void accept(SocketChannel channel) throws IOException {
                RespFront.this.accept(channel, dialect, listener);
            }

            @Override
            public void onRoom(Runnable action) {
                onClose(action);
            }
        };
    }

    /**
     * Whether a connection can be taken into the table. Guards against user agents that hold connections without a
     * request: those that are being ended are cut short, then what the room can spare is ended, then half commands are.
     */
    private boolean makeRoom() {
        for (int i = 0; i < MOST_AT_ONCE && isFull(); i++) {
            Kept kept = room.endingForLongest(loop.now());
            if (kept != null) {
                agent(kept).cutShort();
                continue;
            }
            kept = room.surplus(loop.now());
            if (kept != null) {
                agent(kept).giveWay();
                continue;
            }
            kept = room.halfForLongest(loop.now());
            if (kept == null) {
                break;
            }
            agent(kept).giveUpRest();
        }
        return !isFull();
    }

    private boolean isFull() {
        return userAgents.size() >= most;
    }

    private static UserAgent agent(Kept kept) {
        return (UserAgent) kept.owner();
    }

    /** Takes a connection, whose commands are of a dialect. */
    private void accept(SocketChannel channel, Dialect dialect, int listener) throws IOException {
        try {
            SocketAddress from = channel.getRemoteAddress();
            Object address = from instanceof InetSocketAddress internet ? internet.getAddress() : "unknown";
            if (room.isCrowding(address, loop.now())) {
                room.turnedAway();
                channel.close();
                return;
            }
            UserAgent userAgent = new UserAgent(this, loop, channel, dialect);
            userAgent.begin(userAgents.add(userAgent), room.opened(userAgent, address, listener, loop.now()));
            lookSoon();
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** There may be more connections than the room has place for; looked at when the present happening is over. */
    void lookSoon() {
        if (!isClosing() && look == null && room.lookAgain(loop.now()) != Long.MAX_VALUE) {
            look = loop.after(0, this::keepWithinRoom);
        }
    }

    /** Ends what the room has no place for, and looks again as long as there is too much. */
    private void keepWithinRoom() {
        for (Kept kept; !isClosing() && (kept = room.surplus(loop.now())) != null; ) {
            agent(kept).giveWay();
        }
        long next = isClosing() ? Long.MAX_VALUE : room.lookAgain(loop.now());
        look = next == Long.MAX_VALUE ? null : loop.after(next - loop.now(), this::keepWithinRoom);
    }

    /** Closes every connection as soon as it stands between requests. */
    private void leave() {
        userAgents.all().forEach(UserAgent::closeWhenDone);
    }

    /** Takes no further command on any connection; each ends behind what it has begun. */
    public void finish() {
        userAgents.all().forEach(UserAgent::finish);
    }

    boolean isClosing() {
        return !lifecycle.keepsConnections();
    }

    long readNanos() {
        return readNanos;
    }

    /** Closes those that have not read for longest while there is too much that nobody reads. */
    void boundUnread() {
        List<UserAgent> unread = userAgents.all().stream()
                .filter(UserAgent::isUnread)
                .sorted(Comparator.comparingLong(UserAgent::since))
                .toList();
        long bytes = unread.stream().mapToLong(UserAgent::unwrittenBytes).sum();
        for (UserAgent u : unread) {
            if (bytes <= loop.heapBytes() / UNREAD_PART) {
                return;
            }
            bytes -= u.unwrittenBytes();
            u.overstayed();
        }
    }

    /** A connection is closed. */
    void forget(long ticket, Kept kept, Cause cause) {
        userAgents.remove(ticket);
        room.closed(kept, cause, loop.now());
        whenClosed.forEach(Runnable::run);
    }
}
