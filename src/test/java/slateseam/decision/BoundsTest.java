package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;
import static slateseam.decision.World.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import slateseam.Census;
import slateseam.decision.Api.*;

/** What the module holds stays within bounds, whatever comes and for however long. */
class BoundsTest {
    private static final String MODULE = "slateseam.decision";

    private static long size(World w, String... path) {
        return ((Collection<?>) SupplyTest.field(w.brain, path)).size();
    }

    /** Demand that goes round the ring takes supply with it, and the ledgers' totals pass the end of their numbers. */
    @Test
    void supplyThatGoesRoundTheRingIsNeverUsedUp() {
        Ring ring = new Ring(3, 4, 0, 0);
        long passed = 0;
        int before = 0;
        for (int turn = 0; turn < 60; turn++) {
            double[] misses = new double[3];
            misses[turn % 3] = 2;
            ring.pass(8_000 * MS, misses);
            Neighbour n = neighbours(ring.routers[0]).get(0);
            int flow = ((int[]) SupplyTest.field(n, "flow"))[0];
            passed += flow - before;
            before = flow;
            assertThat(ring.total(0)).as("after turn " + turn + ", " + passed + " units went by")
                    .isBetween((long) (0.85 * Account.WHOLE), (long) Account.WHOLE);
        }
        assertThat(Math.abs(passed)).as("beyond what a number holds").isGreaterThan(1L << 31);
    }

    @SuppressWarnings("unchecked")
    private static List<Neighbour> neighbours(World w) {
        return (List<Neighbour>) SupplyTest.field(w.brain, "supply", "neighbours");
    }
}
