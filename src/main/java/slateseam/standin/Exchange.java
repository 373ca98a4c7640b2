package slateseam.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** One request on a connection, until its answer is written. */
public class Exchange {
    /** The connection. */
    protected final Link link;

    private final boolean last;
    /** What is told and not yet at its turn; the link's bound on what is not taken holds for what is. */
    private final Deque<byte[]> parts = new ArrayDeque<>(2);

    private boolean answered;

    /** A request that is the last on its connection, or not. */
    protected Exchange(Link link, boolean last) {
        this.link = link;
        this.last = last;
    }

    /** Gives the answer, or the end of it, which is written once those ahead of it are. */
    protected final void answer(byte[] bytes) {
        answered = true;
        part(bytes);
    }

    /** Gives a part of the answer, behind which more will come. */
    protected final void part(byte[] bytes) {
        parts.add(bytes);
        link.flush();
    }

    final boolean hasMore() {
        return answered || !parts.isEmpty();
    }

    final byte[] nextPart() {
        return parts.poll();
    }

    /** Whether the answer was given to its end. */
    protected final boolean isAnswered() {
        return answered;
    }

    /** Whether the connection ends behind the answer. */
    boolean isLast() {
        return last;
    }

    /** The connection has gone: nobody waits for the answer. */
    protected void withdrawn() {}
}
