package slateseam.router.connections.servers;

import java.util.ArrayDeque;
import java.util.Deque;

/** The state of one connection to a server, without its socket. */
public final class Link {
    /** The connection state. */
    enum State {
        COMING_UP,
        OPEN,
        CLOSED
    }

    final Pool pool;
    final long openedAt;
    /** The outstanding uses, in the order in which the server is to answer them. */
    final Deque<Use> uses = new ArrayDeque<>();

    State state = State.COMING_UP;
    long upAt;
    long answers;
    /** The time since which no use has been outstanding. */
    long freeSince;
    /**
     * The time at which the first outstanding use was written or the preceding answer arrived, whichever is later.
     */
    long firstSince;

    /** Whether the answers to the outstanding uses must be verified. */
    boolean verifies;
    /** Whether a fence command is outstanding. */
    boolean fenced;

    Link(Pool pool, long now) {
        this.pool = pool;
        openedAt = now;
    }

    /** Returns the pool that this connection belongs to. */
    public Pool pool() {
        return pool;
    }

    /** Returns whether the connection is established and not closed. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /**
     * Returns whether no answer has arrived yet, so that the handshake may be unfinished: servers do the work of the
     * handshake with the first request.
     */
    boolean isUnanswered() {
        return answers == 0;
    }

    boolean isFree() {
        return state == State.OPEN && uses.isEmpty();
    }

    /** Returns whether every outstanding use is abandoned. */
    boolean isAbandoned() {
        Use first = uses.peek();
        if (first == null || !first.isGivenUp()) {
            return false; // the common case; this method runs for every request
        }
        for (Use use : uses) {
            if (!use.isGivenUp()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether every outstanding use is the last one of its request, so that nothing is sent in its place. */
    boolean isLast() {
        for (Use use : uses) {
            if (!use.last) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether another use may be written behind the outstanding uses. */
    boolean isShareable(int most) {
        return state == State.OPEN
                && !fenced
                && !uses.isEmpty()
                && uses.size() < most
                && uses.stream().allMatch(use -> use.shares);
    }
}
