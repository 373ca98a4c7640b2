package slateseam.router.pass;

import slateseam.decision.Api.Event;
import slateseam.decision.Api.Outcome;
import slateseam.router.request.Answer;

/** Receives the results of proxy passes and probes. */
public interface PassListener {
    /**
     * Called exactly once for each proxy pass that was begun, when it ends.
     *
     * @param fetching whether the server missed and reports that a fetch of the key is already pending
     * @param served the answer to pass on; null if the server returned no value
     * @param durationNanos the time from the beginning of the pass to its end, in nanoseconds
     */
    void passEnded(
            long request,
            int attempt,
            long server,
            Outcome outcome,
            boolean fetching,
            Answer served,
            long durationNanos);

    /** Called for an event that belongs to no request: the end of a probe. */
    void happened(Event event);
}
