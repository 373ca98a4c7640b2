package slateseam.decision;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * The state that all classes of one instance share: the settings in force, the time of the current event, the random
 * number generator and the receiver of actions. Times are in nanoseconds.
 */
final class DecisionContext {
    /** The only source of randomness, so that the same seed and events give the same actions. */
    final SplittableRandom random;

    private final long salt;
    private Settings settings;
    private long shortestAim;
    private long now;
    private Consumer<Action> actions;

    DecisionContext(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        salt = JumpHash.mix(seed);
        applySettings(settings);
    }

    /** Sets the time and the receiver of actions for the event that is handled next. */
    void beginEvent(long clockNanos, Consumer<Action> sink) {
        now = clockNanos;
        actions = sink;
    }

    /** Puts new settings in force. Open requests keep the class and the limits with which they arrived. */
    void applySettings(Settings changed) {
        settings = changed;
        shortestAim = changed.classes().stream()
                .mapToLong(RequestClass::aimNanos)
                .min()
                .orElse(Timing.SECOND);
    }

    Settings settings() {
        return settings;
    }

    /** Returns the time of the event that is being handled. */
    long now() {
        return now;
    }

    /** Returns the shortest {@link RequestClass#aimNanos} of all classes; 1 s if there are no classes. */
    long shortestAim() {
        return shortestAim;
    }

    /** Returns the period between two rounds of housekeeping. */
    long housekeepingPeriod() {
        return Math.max(Timing.TICK, settings.tickNanos());
    }

    /** Returns a number in [0, 1) that depends only on the instance's seed and the argument. */
    double unitOf(long id) {
        return JumpHash.unit(JumpHash.mix(id ^ salt));
    }

    void emit(Action action) {
        actions.accept(action);
    }
}
