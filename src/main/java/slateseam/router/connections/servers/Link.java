package slateseam.router.connections.servers;

import java.util.ArrayDeque;
import java.util.Deque;

/** A connection to a server, as the module sees it. */
public final class Link {
    /** How far it has come. */
    enum State {
        COMING_UP,
        OPEN,
        CLOSED
    }

    final Pool pool;
    final long openedAt;
    /** The uses that are out on it, in the order in which they are to be answered. */
    final Deque<Use> uses = new ArrayDeque<>();

    State state = State.COMING_UP;
    long upAt;
    long answers;
    /** Since when nothing has been out on it. */
    long freeSince;
    /** When its last answer came; 0 before the first. */
    long answeredAt;
    /** When what is first on it was written, or the answer before it came: whichever is later. */
    long firstSince;

    /** Whether it is being found out whose answer came last. */
    boolean checking;
    /** Whether that answer and the one before it are for one key. */
    boolean checkingSame;

    Link(Pool pool, long now) {
        this.pool = pool;
        openedAt = now;
    }

    /** The connections that it is one of. */
    public Pool pool() {
        return pool;
    }

    /** Whether it is up and not closed. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /** Whether its handshake may still be going on: servers do its work with the first request. */
    boolean isYoung() {
        return answers == 0;
    }

    boolean isFree() {
        return state == State.OPEN && uses.isEmpty();
    }

    /** Whether nobody waits for anything that is out on it. */
    boolean isForsaken() {
        Use first = uses.peek();
        if (first == null || !first.isGivenUp()) {
            return false; // as nearly always: this is asked for every request
        }
        for (Use use : uses) {
            if (!use.isGivenUp()) {
                return false;
            }
        }
        return true;
    }

    /** Whether all that is out on it is of requests that have their answer. */
    boolean isLast() {
        for (Use use : uses) {
            if (!use.last) {
                return false;
            }
        }
        return true;
    }

    /** Whether others may be written behind what is out on it. */
    boolean isShareable(int most) {
        return state == State.OPEN
                && !checking
                && !uses.isEmpty()
                && uses.size() < most
                && uses.stream().allMatch(use -> use.shares);
    }
}
