package slateseam.router.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The states of a router, from startup to shutdown. This class alone decides what health checks and PING report, and
 * whether a connection is kept open after its answer.
 */
public final class Lifecycle {
    /** The state of a router. */
    public enum State {
        /** The router does not accept user agents yet. */
        STARTING,
        /** The router accepts user agents. */
        SERVING,
        /**
         * The operators drained the router: requests that still arrive are served, but no connection is kept open.
         */
        DRAINED,
        /**
         * A planned shutdown has begun: requests that still arrive are served, and connections are kept for a short
         * time.
         */
        ENDING,
        /** The router is shutting down and keeps no connection open. */
        CLOSING
    }

    private final List<Runnable> whenLeaving = new ArrayList<>();
    private State state = State.STARTING;
    private boolean drained;
    private BooleanSupplier mayServe = () -> true;

    /** Returns the present state. */
    public State state() {
        return state;
    }

    /** Adds an action that runs each time connections cease to be kept open. */
    public void whenLeaving(Runnable action) {
        whenLeaving.add(action);
    }

    /** Begins to accept user agents. */
    public void started() {
        if (state == State.STARTING) {
            state = State.SERVING;
        }
    }

    /**
     * Drains the router; a repeated call changes nothing.
     *
     * @return whether the router is drained; false while it is starting or shutting down
     */
    public boolean drain() {
        if (state == State.SERVING) {
            state = State.DRAINED;
            drained = true;
            whenLeaving.forEach(Runnable::run);
        }
        return state == State.DRAINED;
    }

    /**
     * Accepts user agents again after a drain; without a drain it changes nothing.
     *
     * @return whether the router accepts user agents; always false during a shutdown, which cannot be undone
     */
    public boolean resume() {
        if (state == State.DRAINED) {
            state = State.SERVING;
            drained = false;
        }
        return state == State.SERVING;
    }

    /** Begins a planned shutdown; returns false if it had begun before. */
    public boolean end() {
        if (state == State.ENDING || state == State.CLOSING) {
            return false;
        }
        state = drained ? State.CLOSING : State.ENDING; // after a drain, connections are never kept open again
        return true;
    }

    /** Keeps no connection open from now on. */
    public void close() {
        state = State.CLOSING;
        whenLeaving.forEach(Runnable::run);
    }

    /** Returns the result of the health check, which is false as soon as a planned shutdown begins. */
    public boolean takesUserAgents() {
        return state == State.SERVING;
    }

    /**
     * Returns whether PING succeeds on open connections. During a planned shutdown it still does, because requests on
     * them are still served.
     */
    public boolean answersPing() {
        return state != State.STARTING && !drained && mayServe.getAsBoolean();
    }

    /** Sets a check; while it returns false, PING fails, so that user agents with other routers use those. */
    public void setServingCheck(BooleanSupplier check) {
        mayServe = check;
    }

    /** Returns whether a connection is kept open after its answer. */
    public boolean keepsConnections() {
        return state == State.STARTING || state == State.SERVING || state == State.ENDING;
    }
}
