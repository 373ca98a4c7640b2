package slateseam.standin;

/** One request on a connection, until its answer is written. */
class Exchange {
    final Link link;
    private final boolean last;
    private byte[] answer;

    /** A request that is the last on its connection, or not. */
    Exchange(Link link, boolean last) {
        this.link = link;
        this.last = last;
    }

    /** Gives the answer, which is written once those ahead of it are. */
    final void answer(byte[] bytes) {
        answer = bytes;
        link.flush();
    }

    final byte[] answer() {
        return answer;
    }

    /** Whether the connection ends behind the answer. */
    boolean isLast() {
        return last;
    }

    /** The connection has gone: nobody waits for the answer. */
    void withdrawn() {
    }
}
