package slateseam.decision;

import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Subscribe;

/** When discovery is asked for the member list, on sites where it must be asked. */
final class DiscoverySubscription {
    /** Of the timer after which the list is to be asked for. */
    static final int TIMER_TAG = 2;
    /** Doublings of the time between two calls, after calls that failed. */
    private static final int MOST_DOUBLINGS = 2;

    private final DecisionContext context;
    private int failedCalls;

    DiscoverySubscription(DecisionContext context) {
        this.context = context;
    }

    /** Asks once at a start, spread over a time that follows from how many routers there are. */
    void start() {
        if (context.settings().askedDiscovery()) {
            askWithin(Math.min(Timing.SECOND, context.settings().routers() * Timing.TICK));
        }
    }

    /** Its timer has fired. */
    void ask() {
        context.emit(new Subscribe());
    }

    void failed() {
        askWithin(Timing.SECOND << Math.min(failedCalls, MOST_DOUBLINGS));
        failedCalls++;
    }

    void succeeded() {
        failedCalls = 0;
    }

    private void askWithin(long nanos) {
        context.emit(new SetTimer(TIMER_TAG, 1 + context.random.nextLong(nanos)));
    }
}
