package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.policy.Policy;
import slateseam.tier.policy.PolicySettings;
import slateseam.tier.policy.Version;

/**
 * Policy changes under single faults and conflicts, such as lost routers, refusals and concurrent proposals. There
 * are five routers of which three vote, unless a test says otherwise.
 */
class PolicyHardCasesTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long HOLD_NANOS = PolicySettings.usual(0, 1, Set.of()).holdNanos();
    private static final long MAX_DELAY_NANOS = HOLD_NANOS + 300 * MILLI;

    private static PolicyWorld world(int routers) {
        PolicyWorld world = new PolicyWorld(3, routers, 1, Ways.USUAL, MAX_DELAY_NANOS);
        run(world, SECOND);
        world.begin();
        run(world, (4 + routers / 5) * SECOND);
        assertThat(world.isWhole()).as(world.look()).isTrue();
        return world;
    }

    private static void run(PolicyWorld world, long nanos) {
        world.net().run(nanos, () -> {});
    }

    private static void assertInEffect(PolicyWorld world, String document) {
        assertThat(world.broken()).isNull();
        for (int i = 0; i < world.size(); i++) {
            assertThat(world.policy(i) == null || world.held(i).equals(document))
                    .as(world.look())
                    .isTrue();
        }
    }

    @Test
    void aChangeHoldsEverywhereInTimeAndTwoVersionsAreServedForAMoment() {
        PolicyWorld world = world(5);
        Version version = world.propose(4, "one", "first", true, 1);
        run(world, HOLD_NANOS + SECOND);
        assertInEffect(world, "first");
        assertThat(world.longestMixed()).isLessThan(500 * MILLI);
        run(world, 2 * SECOND);
        assertThat(world.policy(3).outcome(version)).isEqualTo("settled");
    }

    /**
     * A router that is cut off as the change is decided stops serving before the version takes effect. The old and
     * the new version are served side by side only for as long as a message takes.
     */
    @Test
    void oneThatIsCutOffAsTheChangeIsDecidedStopsBeforeItHolds() {
        PolicyWorld world = world(5);
        world.propose(4, "one", "first", true, 0);
        run(world, 60 * MILLI);
        while (world.decided(1) == null) {
            run(world, MILLI);
        }
        world.net().mute(3, 5, true);
        world.net().deaf(3, 5, true);
        world.apart(3, true);
        run(world, 10 * SECOND);
        assertThat(world.policy(3).mayServe(world.net().now())).isFalse();
        assertThat(world.longestMixed()).isLessThan(500 * MILLI);
        world.net().mute(3, 5, false);
        world.net().deaf(3, 5, false);
        world.apart(3, false);
        run(world, SECOND);
        assertInEffect(world, "first");
        assertThat(world.isWhole()).isTrue();
    }

    @Test
    void routersThatAreDownHoldUpNothingAndKnowItBeforeTheyServe() {
        PolicyWorld world = world(5);
        world.kill(4);
        world.kill(2);
        run(world, 4 * SECOND);
        for (int i = 1; i <= 3; i++) {
            world.propose(0, "change-" + i, "document " + i, true, 0);
            run(world, HOLD_NANOS + 3 * SECOND);
        }
        assertInEffect(world, "document 3");
        world.memory(2).empty();
        world.start(2);
        world.start(4);
        assertThat(world.policy(4).mayServe(world.net().now())).isFalse();
        run(world, 2 * SECOND);
        assertInEffect(world, "document 3");
        assertThat(world.isWhole()).as(world.look()).isTrue();
    }

    @Test
    void aRefusalAbortsEverywhereAndReachesTheProposer() {
        PolicyWorld world = world(5);
        Version version = world.propose(1, "bad", PolicyWorld.REFUSED_BY + "4;", true, 0);
        run(world, 3 * SECOND);
        assertThat(world.policy(1).outcome(version)).isEqualTo("aborted");
        assertThat(world.policy(0).versions().find("bad").cause())
                .isEqualTo("router 4: settings.profiles: class x has no name");
        assertInEffect(world, "");
    }

    @Test
    void ofTwoAtOnceOneIsToldByWhichItWasBeaten() {
        PolicyWorld world = world(5);
        Version one = world.propose(1, "one", "first", true, 0);
        Version other = world.propose(3, "other", "second", true, 0);
        run(world, HOLD_NANOS + 2 * SECOND);
        Policy asked = world.policy(2);
        String loserOutcome = asked.versions().find("one") == null ? asked.outcome(one) : asked.outcome(other);
        assertThat(loserOutcome).matches("rejected: beaten by (one|other), proposed at router [13]");
        // Proposes another document by the name of the committed version, which is rejected and adds no version.
        world.propose(2, asked.versions().newest().name(), "another", true, 0);
        run(world, SECOND);
        assertThat(asked.versions().all()).hasSize(1);
        assertThat(world.broken()).isNull();
    }

    @Test
    void aSilentOneHoldsAChangeUpForItsPatienceAtMost() {
        PolicyWorld world = world(5);
        world.net().mute(4, 5, true); // still alive in the membership view, which the test sets directly
        Version all = world.propose(0, "all", "for all", true, 0);
        run(world, 6 * SECOND);
        assertThat(world.policy(0).outcome(all)).isEqualTo("aborted");
        assertThat(world.policy(0).versions().find("all").cause()).isEqualTo("router 4 did not answer in time");
        Version serving = world.propose(0, "serving", "for those that answer", false, 0);
        run(world, 6 * SECOND + HOLD_NANOS);
        assertThat(world.policy(0).outcome(serving)).isEqualTo("settled");
        assertThat(world.policy(4).mayServe(world.net().now())).isFalse();
        assertThat(world.broken()).isNull();
    }

    @Test
    void aVersionByWhichFewerAreServedIsTakenBackByItself() {
        PolicyWorld world = world(5);
        world.propose(2, "good", "good", true, 2);
        run(world, HOLD_NANOS + 5 * SECOND);
        world.propose(2, "bad", PolicyWorld.HURTS, true, 20);
        run(world, 2 * HOLD_NANOS + 8 * SECOND);
        assertInEffect(world, "good");
        Version undo = world.policy(1).versions().newest();
        assertThat(undo.undoes()).isEqualTo(2);
        assertThat(undo.cause()).startsWith("class 0 served ");
        assertThat(world.policy(1).versions().find("bad").state()).isEqualTo(Version.State.UNDONE);
    }

    @Test
    void anOperatorTakesAVersionBackAlsoTheFirst() {
        PolicyWorld world = world(5);
        world.propose(0, "one", "first", true, 30);
        run(world, HOLD_NANOS + 2 * SECOND);
        world.undo(4);
        run(world, HOLD_NANOS + 2 * SECOND);
        assertInEffect(world, "");
        assertThat(world.isWhole()).isTrue();
    }

    /**
     * The leader is killed, or paused and resumed, in turn: every 10 ms in the first 400 ms of a change, and every 100 ms
     * from 4 s on. No router is later than an election and a second hold time allow.
     */
    @Test
    void theLeaderIsLostAtEachStep() {
        for (int at = 0; at < 60; at++) {
            PolicyWorld world = new PolicyWorld(3, 5, at, Ways.USUAL, 2 * HOLD_NANOS + 3 * SECOND);
            run(world, SECOND);
            world.begin();
            run(world, 5 * SECOND);
            world.propose(4, "one", "first", true, 1);
            run(world, (at < 40 ? 10 : 100) * at * MILLI);
            int leader = world.leader();
            boolean killed = at % 2 == 0 && leader >= 0;
            if (killed) {
                world.kill(leader);
            } else if (leader >= 0) {
                world.pause(leader, true);
            }
            run(world, 4 * SECOND);
            if (killed) {
                world.start(leader);
            } else if (leader >= 0) {
                world.pause(leader, false);
            }
            run(world, 4 * HOLD_NANOS);
            assertThat(world.broken()).as("at step %d", at).isNull();
            assertThat(world.isWhole()).as("at step %d: %s", at, world.look()).isTrue();
        }
    }

    @Test
    void withoutAMajorityNobodyServesAfterTheLease() {
        PolicyWorld world = world(5);
        world.kill(0);
        world.kill(1);
        run(world, 3 * SECOND);
        for (int i = 2; i < 5; i++) {
            assertThat(world.policy(i).mayServe(world.net().now()))
                    .as(world.look())
                    .isFalse();
        }
        world.start(0);
        run(world, 8 * SECOND);
        assertThat(world.policy(4).mayServe(world.net().now())).as(world.look()).isTrue();
    }

    @Test
    void aDocumentOf64KiBComesWholeThroughTheTree() {
        PolicyWorld world = world(20);
        world.propose(19, "long", "y".repeat(64 * 1024), true, 0);
        run(world, HOLD_NANOS + 3 * SECOND);
        assertInEffect(world, "y".repeat(64 * 1024));
    }

    @Test
    void threeHundredProposalsAtOnceBecomeOne() {
        PolicyWorld world = world(5);
        for (int i = 0; i < 300; i++) {
            world.policy(i % 5)
                    .propose("change-" + i, ("document " + i).getBytes(StandardCharsets.UTF_8), true, false, 0, 10);
        }
        run(world, HOLD_NANOS + 4 * SECOND);
        assertThat(world.policy(0).versions().all()).hasSize(1);
        assertInEffect(world, world.held(0));
        assertThat(world.isWhole()).isTrue();
    }

    @Test
    void drawnDaysBreakNothing() {
        StringBuilder lines = new StringBuilder();
        assertThat(TierDays.playPolicy(1, 60, line -> lines.append(line).append('\n')))
                .as(lines.toString())
                .isZero();
    }
}
