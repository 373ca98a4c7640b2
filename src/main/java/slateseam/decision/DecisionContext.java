package slateseam.decision;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * What the concerns of one instance share: the settings in force, the time of the event that is handled, the random
 * numbers and the sink of actions. Times are in nanoseconds.
 */
final class DecisionContext {
    /** Drawn from by all concerns, so that the same seed and events give the same actions. */
    final SplittableRandom random;

    private final long salt;
    private Settings settings;
    private long shortestAim;
    private long now;
    private Consumer<Action> actions;

    DecisionContext(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        salt = JumpHash.mix(seed);
        retune(settings);
    }

    /** An event is handled from now on. */
    void begin(long clockNanos, Consumer<Action> sink) {
        now = clockNanos;
        actions = sink;
    }

    /** What comes from now on comes with these; requests keep what they came with. */
    void retune(Settings changed) {
        settings = changed;
        shortestAim = changed.classes().stream()
                .mapToLong(RequestClass::aimNanos)
                .min()
                .orElse(Timing.SECOND);
    }

    Settings settings() {
        return settings;
    }

    /** The time of the event that is handled. */
    long now() {
        return now;
    }

    /** The shortest time in which an answer of any class is useful in full. */
    long shortestAim() {
        return shortestAim;
    }

    /** Between two rounds of housekeeping. */
    long housekeepingPeriod() {
        return Math.max(Timing.TICK, settings.tickNanos());
    }

    /** A number in [0, 1) of this instance and the argument alone. */
    double unitOf(long id) {
        return JumpHash.unit(JumpHash.mix(id ^ salt));
    }

    void emit(Action action) {
        actions.accept(action);
    }
}
