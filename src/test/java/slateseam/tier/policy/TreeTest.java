package slateseam.tier.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which router is polled while other routers join and leave and the voters change. */
final class TreeTest {
    private static final int ROUTERS = 60;
    private static final int STEPS = 400;
    private static final int BRANCHES = 4;
    private static final Set<Integer> CONFIGURED_VOTERS = Set.of(0, 1, 2, 3, 4);

    @Test
    void aLearnerAsksTheOneAboveItByItsRankAmongThoseThatAreThere() {
        SplittableRandom random = new SplittableRandom(1);
        int me = 33;
        Tree tree = new Tree(PolicySettings.usual(me, ROUTERS, CONFIGURED_VOTERS), random);
        for (int step = 0; step < STEPS; step++) {
            Set<Integer> alive = randomSubset(random, ROUTERS);
            alive.add(me);
            Set<Integer> voting = randomSubset(random, CONFIGURED_VOTERS.size());
            voting.add(0);
            alive.add(0);
            tree.setAlive(alive);

            TreeSet<Integer> above = new TreeSet<>(voting);
            above.retainAll(alive);
            TreeSet<Integer> learners = new TreeSet<>(alive);
            learners.removeAll(CONFIGURED_VOTERS);
            int rank = learners.headSet(me).size();
            int expected = rank < BRANCHES * above.size()
                    ? above.stream().toList().get(rank % above.size())
                    : learners.stream().toList().get((rank - BRANCHES * above.size()) / BRANCHES);
            assertThat(tree.parent(0, voting)).isEqualTo(expected);
            assertThat(tree.parent(0, voting)).as("asked again").isEqualTo(expected);
        }
    }

    private static Set<Integer> randomSubset(SplittableRandom random, int of) {
        return IntStream.range(0, of).filter(i -> random.nextBoolean()).boxed().collect(Collectors.toSet());
    }
}
