package slateseam.standin;

/** A call of discovery's list. */
final class DiscoveryCall extends Exchange {
    private static final long MILLI = 1_000_000;
    private static final long LONGEST_WAIT_MILLIS = 60_000;

    private final DiscoveryAgent agent;
    private final long index;
    private final long until;

    /** A watch of what is newer than a version, or of the whole list at once if the version is negative. */
    DiscoveryCall(DiscoveryAgent agent, Link link, long index, long waitMillis, boolean last) {
        super(link, last);
        this.agent = agent;
        this.index = index;
        this.until = agent.clock.now() + Math.min(waitMillis, LONGEST_WAIT_MILLIS) * MILLI;
    }

    boolean isWatch() {
        return index >= 0;
    }

    long index() {
        return index;
    }

    long until() {
        return until;
    }

    void tell(String list) {
        answer(Answers.http(200, "Content-Type: application/json\r\n", list));
    }

    @Override
    protected void withdrawn() {
        agent.withdraw(this);
    }
}
