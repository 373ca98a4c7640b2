package slateseam.router.useragent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import slateseam.router.connections.useragents.Cause;
import slateseam.router.connections.useragents.Kept;
import slateseam.router.connections.useragents.UserAgentRoom;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.Slots;

/**
 * The RESP2 connections of user agents on all listeners. A {@link UserAgentRoom} decides which connections are kept;
 * the {@link Dialect} of the listener at which a connection was accepted interprets its commands.
 */
public final class RespFront {
    /** Maximum number of connections that are ended at a time to make room in the table. */
    private static final int MAX_ENDED_AT_ONCE = 16;

    private final Loop loop;
    private final Slots<UserAgent> userAgents;
    private final UserAgentRoom room;
    /** The current maximum number of connections. */
    private int maxOpen;
    /** The longest deadline of any class, in nanoseconds: an answer that is not read within it has become useless. */
    private long readNanos;

    private final List<Runnable> whenClosed = new ArrayList<>();
    private final Lifecycle lifecycle;
    private Deadline surplusCheck;
    private int listeners;

    /**
     * Creates the table of connections.
     *
     * @param longestAnswerNanos the longest deadline of any class, in nanoseconds
     * @param maxConnections the maximum number of connections, on all listeners together
     * @param held the maximum number of connections that user agents hold for their requests
     */
    public RespFront(Loop loop, Lifecycle lifecycle, long longestAnswerNanos, int maxConnections, int held) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.readNanos = longestAnswerNanos;
        this.userAgents = new Slots<>(maxConnections);
        this.maxOpen = maxConnections;
        this.room = new UserAgentRoom(maxConnections, held);
        lifecycle.whenLeaving(this::closeBetweenRequests);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return userAgents.size();
    }

    /**
     * Sets new limits on the number of connections.
     *
     * @param maxConnections the maximum number of connections; never more than the number given to the constructor
     * @param held the maximum number of connections that user agents hold for their requests
     */
    public void bound(int maxConnections, int held) {
        maxOpen = maxConnections;
        room.bound(maxConnections, held);
        scheduleSurplusCheck();
    }

    /** Sets the longest deadline of the classes in force, in nanoseconds. */
    public void setLongestAnswer(long longestAnswerNanos) {
        readNanos = longestAnswerNanos;
    }

    /** Returns the policy that decides which connections are kept, for its counters. */
    public UserAgentRoom room() {
        return room;
    }

    /** Adds an action that runs after each close of a connection. */
    public void onClose(Runnable action) {
        whenClosed.add(action);
    }

    /** Returns the gate of a new listener whose commands are interpreted by a dialect. */
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
     * Returns whether a connection can be taken into the table, ending others if the table is full. Guards against
     * user agents that hold connections without a request: connections that are already ending are closed first,
     * then surplus connections, then connections on which only part of a command has arrived.
     */
    private boolean makeRoom() {
        for (int i = 0; i < MAX_ENDED_AT_ONCE && isFull(); i++) {
            Kept kept = room.endingForLongest(loop.now());
            if (kept != null) {
                agent(kept).closeNow();
                continue;
            }
            kept = room.surplus(loop.now());
            if (kept != null) {
                agent(kept).endIfQuiet();
                continue;
            }
            kept = room.halfForLongest(loop.now());
            if (kept == null) {
                break;
            }
            agent(kept).endPartialCommand();
        }
        return !isFull();
    }

    private boolean isFull() {
        return userAgents.size() >= maxOpen;
    }

    private static UserAgent agent(Kept kept) {
        return (UserAgent) kept.owner();
    }

    /** Takes over an accepted connection, or closes it if its address has too many connections. */
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
            scheduleSurplusCheck();
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Schedules a check for surplus connections, to run when the current event has been handled. */
    void scheduleSurplusCheck() {
        if (!isClosing() && surplusCheck == null && room.lookAgain(loop.now()) != Long.MAX_VALUE) {
            surplusCheck = loop.after(0, this::endSurplus);
        }
    }

    /** Ends surplus connections and schedules the next check if another one is due. */
    private void endSurplus() {
        for (Kept kept; !isClosing() && (kept = room.surplus(loop.now())) != null; ) {
            agent(kept).endIfQuiet();
        }
        long next = isClosing() ? Long.MAX_VALUE : room.lookAgain(loop.now());
        surplusCheck = next == Long.MAX_VALUE ? null : loop.after(next - loop.now(), this::endSurplus);
    }

    /** Closes every connection as soon as it is between requests. */
    private void closeBetweenRequests() {
        userAgents.all().forEach(UserAgent::leave);
    }

    /** Ends each connection as soon as everything that was read from it is answered and sent. */
    public void finish() {
        userAgents.all().forEach(UserAgent::finish);
    }

    /** Closes the connections that have no answer to send, whatever they wait for. */
    public void closeDone() {
        userAgents.all().stream().filter(UserAgent::isDone).forEach(UserAgent::closeNow);
    }

    boolean isClosing() {
        return !lifecycle.keepsConnections();
    }

    long readNanos() {
        return readNanos;
    }

    /** Called when a connection is closed. */
    void forget(long ticket, Kept kept, Cause cause) {
        userAgents.remove(ticket);
        room.closed(kept, cause, loop.now());
        whenClosed.forEach(Runnable::run);
    }
}
