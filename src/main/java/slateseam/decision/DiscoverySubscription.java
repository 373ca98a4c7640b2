package slateseam.decision;

import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Subscribe;

/** Schedules the requests for the member list on sites where discovery has to be asked for it. */
final class DiscoverySubscription {
    /** The tag of the timer after which discovery is asked for the list. */
    static final int TIMER_TAG = 2;
    /** The largest number of doublings of the delay between two calls that fail in succession. */
    private static final int MAX_DOUBLINGS = 2;

    private final DecisionContext context;
    private int failedCalls;

    DiscoverySubscription(DecisionContext context) {
        this.context = context;
    }

    /**
     * Schedules the first request at a start. The delay is random, up to a maximum that grows with the number of
     * routers, so that routers which start together do not all ask at once.
     */
    void start() {
        if (context.settings().askedDiscovery()) {
            subscribeWithin(Math.min(Timing.SECOND, context.settings().routers() * Timing.TICK));
        }
    }

    /** Asks discovery for the list; called when the timer with {@link #TIMER_TAG} fires. */
    void ask() {
        context.emit(new Subscribe());
    }

    /** Schedules another request after a failed one, with exponential back-off. */
    void failed() {
        subscribeWithin(Timing.SECOND << Math.min(failedCalls, MAX_DOUBLINGS));
        failedCalls++;
    }

    /** Resets the back-off after a list was received. */
    void succeeded() {
        failedCalls = 0;
    }

    /** Sets the timer to a random delay of at most so many nanoseconds. */
    private void subscribeWithin(long maxDelayNanos) {
        context.emit(new SetTimer(TIMER_TAG, 1 + context.random.nextLong(maxDelayNanos)));
    }
}
