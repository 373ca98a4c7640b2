package slateseam.router.pass;

import slateseam.decision.Api.Event;
import slateseam.decision.Api.Outcome;
import slateseam.router.request.Answer;

/** Whom proxy passes and probes report to. */
public interface PassListener {
    /** A proxy pass ended; called once for each that was begun. The answer is there if it was served. */
    void passEnded(
            long request,
            int attempt,
            long server,
            Outcome outcome,
            boolean fetching,
            Answer served,
            long durationNanos);

    /** Something happened that concerns no request: a probe ended. */
    void happened(Event event);
}
