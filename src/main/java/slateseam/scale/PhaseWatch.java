package slateseam.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import slateseam.router.net.Clock;

/** Watches one phase: what real routers spend in it, and whether the machine left everybody enough processor for its figures to mean something. */
final class PhaseWatch {
    /** A member that stood still for longer doubts itself, as if it had been paused. */
    private static final long MOST_STALL_NANOS = 300 * Clock.MILLI;
    /** Of its time that a loop may have waited for a processor. */
    private static final double MOST_DELAY = 0.1;

    private final String phase;
    private final HollowTier hollow;
    private final ScaleResult result;
    private final Clock clock;
    private final List<RealCost> costs = new ArrayList<>();
    private final ProcessCost ownBefore;
    private final long since;

    /** The phase begins; routers that are to start in it are not to be named. */
    PhaseWatch(
            String phase,
            HollowTier hollow,
            List<RealRouter> real,
            Impairments impairments,
            Clock clock,
            ScaleResult result)
            throws IOException, InterruptedException {
        this.phase = phase;
        this.hollow = hollow;
        this.result = result;
        this.clock = clock;
        hollow.takeStall();
        ownBefore = own();
        for (RealRouter one : real) {
            costs.add(new RealCost(one, impairments.counts(one.number()), clock));
        }
        since = clock.nanos();
    }

    private static ProcessCost own() throws IOException {
        return ProcessCost.of(ProcessHandle.current().pid(), name -> name.startsWith(HollowLoop.THREAD_NAME));
    }

    /** The phase ends; what each real router has spent. */
    List<RealCost> end() throws IOException, InterruptedException {
        for (RealCost cost : costs) {
            cost.end();
            delayed(cost.name(), cost.delayNanos() / 1e9 / cost.seconds());
        }
        double seconds = (clock.nanos() - since) / 1e9;
        ProcessCost own = own();
        result.add(
                phase,
                "this process's processor",
                "% of a core",
                List.of((own.cpuNanos() - ownBefore.cpuNanos()) / 1e7 / seconds),
                0);
        delayed("a thread of hollow routers", own.longestDelaySince(ownBefore) / 1e9 / seconds);
        long stall = hollow.takeStall();
        result.add(phase, "hollow routers' longest stall", "ms", List.of(stall / 1e6), 0);
        if (stall > MOST_STALL_NANOS) {
            result.spoilt(phase, String.format(Locale.ROOT, "the hollow routers stood still for %.0f ms", stall / 1e6));
        }
        return costs;
    }

    private void delayed(String who, double share) {
        if (share > MOST_DELAY) {
            result.spoilt(
                    phase,
                    String.format(Locale.ROOT, "%s waited %.0f%% of its time for a processor", who, 100 * share));
        }
    }
}
