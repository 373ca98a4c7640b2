package slateseam.simulate;

import java.util.List;
import slateseam.simulate.check.Breach;
import slateseam.simulate.scenario.Day;

/**
 * A day on the virtual clock, told by phases as a trial on real processes tells it.
 *
 * @param phases what user agents got, phase by phase
 * @param begin when it began, in Unix time in nanoseconds
 * @param breaches the first rules that were broken, by the checker that sees every byte
 */
public record VirtualTrial(ServiceByPhase phases, long begin, List<Breach> breaches) {
    /** Plays a day on the calling thread. */
    public static VirtualTrial play(Day day) {
        ServiceByPhase phases = new ServiceByPhase(
                Play.BEGIN, day.durationNanos(), day.timeline().faults());
        Result result = new Play(day, null, phases).play();
        return new VirtualTrial(phases, result.begin(), result.breaches());
    }
}
