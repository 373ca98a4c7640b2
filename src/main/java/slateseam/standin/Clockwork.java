package slateseam.standin;

/** Time and timers, as whoever runs a stand-in gives them. Actions of one time run in the order in which they were set. */
public interface Clockwork {
    /** Unix time in nanoseconds. */
    long now();
    /** Runs an action at a time, not before the current happening has ended; a time that is over counts as now. Cannot be cancelled: the action looks whether it still matters. */
    void at(long time, Runnable action);
}
