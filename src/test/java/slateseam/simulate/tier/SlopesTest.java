package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.MemberView;

/** The fits that figures are extrapolated by, and what the slopes' plays rely on. */
final class SlopesTest {
    private static final int[] SIZES = {50, 100, 200, 400};
    private static final long SECOND = 1_000_000_000L;

    @Test
    void aStraightLineInTheNumberIsFound() {
        Slope slope = Slope.of(SIZES, new double[] {57, 107, 207, 407});

        assertThat(slope.shape()).isEqualTo(Slope.Shape.LINEAR);
        assertThat(slope.residual()).isCloseTo(0, within(1e-9));
        assertThat(slope.at(2_000)).isCloseTo(2_007, within(1e-6));
    }

    @Test
    void aStraightLineInTheLogarithmIsFound() {
        Slope slope = Slope.of(SIZES, new double[] {1, 1.5, 2, 2.5});

        assertThat(slope.shape()).isEqualTo(Slope.Shape.LOGARITHMIC);
        assertThat(slope.at(800)).isCloseTo(3, within(1e-9));
        assertThat(slope.other().at(800)).isGreaterThan(3);
    }

    @Test
    void theResidualIsAPartOfTheMean() {
        Slope slope = Slope.of(SIZES, new double[] {12, 8, 12, 8});

        assertThat(slope.residual()).isBetween(0.15, 0.2);
    }

    @Test
    void theNumbersOfThosePresentFollowTheView() {
        MembersWorld world = new MembersWorld(12, 1, Ways.USUAL, UnaryOperator.identity());
        IntStream.range(0, 12).forEach(world::start);
        world.run(5 * SECOND);
        Set<Integer> first = world.members(3).numbers();
        assertThat(first).hasSize(12).isEqualTo(viewed(world));
        assertThat(world.members(3).numbers()).as("while nothing changes").isSameAs(first);

        world.kill(7);
        world.leave(2);
        world.run(5 * SECOND);
        assertThat(world.members(3).numbers()).hasSize(10).doesNotContain(7, 2).isEqualTo(viewed(world));

        world.start(7);
        world.run(2 * SECOND);
        assertThat(world.members(3).numbers()).hasSize(11).contains(7).isEqualTo(viewed(world));
    }

    private static Set<Integer> viewed(MembersWorld world) {
        Set<Integer> there = new TreeSet<>(Set.of(3));
        world.members(3).view().stream()
                .filter(one -> !one.state().isGone())
                .map(MemberView::number)
                .forEach(there::add);
        return there;
    }
}
