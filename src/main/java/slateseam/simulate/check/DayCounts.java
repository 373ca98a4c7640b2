package slateseam.simulate.check;

import java.util.Set;
import java.util.TreeSet;

/**
 * What is judged over a whole day, as a few of it are allowed: requests that have no answer when their time is up, and
 * routers that turn away all that they get for seconds on end.
 */
final class DayCounts {
    /** One in so many requests may be without an answer when its time is up, */
    private static final int ONE_UNANSWERED_IN = 500;
    /** and so many more. */
    private static final int MORE_UNANSWERED = 5;
    /** One in so many routers may turn all away. */
    private static final int ONE_IDLE_IN = 10;

    /** A router is idle that turns away so many requests */
    private static final int IDLE_REQUESTS = 15;
    /** over so long, and makes no attempt in between. */
    private static final long IDLE_NANOS = 4_000_000_000L;

    private final Report report;
    private final Set<String> idle = new TreeSet<>();
    private long requests;
    private long unanswered;
    private String firstUnanswered = "";

    DayCounts(Report report) {
        this.report = report;
    }

    /** A request was read by a router. */
    void request() {
        requests++;
    }

    /** The time of a request is over, and there was no answer; counted once. */
    void unanswered(Asked asked) {
        if (!asked.countedUnanswered) {
            asked.countedUnanswered = true;
            unanswered++;
            firstUnanswered = firstUnanswered.isEmpty() ? asked.id : firstUnanswered;
        }
    }

    /** A router wrote an attempt of a request. */
    void attempt(RouterState router) {
        router.turnedAway = 0;
    }

    /** A request was answered without being served, and no attempt of it was made. */
    void turnedAway(RouterState router) {
        long now = report.now();
        if (router.turnedAway++ == 0) {
            router.turnsAwaySince = now;
        }
        if (router.turnedAway >= IDLE_REQUESTS && now - router.turnsAwaySince >= IDLE_NANOS) {
            idle.add(router.name());
        }
    }

    /**
     * The day is over.
     *
     * @param routers how many there are
     * @param calm whether it was one on which routers have no reason to turn all away
     */
    void over(int routers, boolean calm) {
        if (unanswered > requests / ONE_UNANSWERED_IN + MORE_UNANSWERED) {
            report.breach(
                    Rule.UNANSWERED,
                    "",
                    firstUnanswered,
                    unanswered + " of " + requests + " requests had no answer when their time was up");
        }
        if (calm && idle.size() > routers / ONE_IDLE_IN) {
            report.breach(
                    Rule.IDLE,
                    idle.iterator().next(),
                    "",
                    idle.size() + " of " + routers + " routers turned away all that they got for seconds on end: "
                            + String.join(", ", idle));
        }
    }
}
