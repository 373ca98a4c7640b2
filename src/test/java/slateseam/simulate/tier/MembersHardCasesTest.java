package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.Census;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.Change;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.LocalHealthIssue;
import slateseam.tier.members.MemberView;
import slateseam.tier.members.Members;
import slateseam.tier.members.MembersPort;
import slateseam.tier.members.MembersSettings;
import slateseam.tier.members.Reach;
import slateseam.tier.members.State;
import slateseam.tier.members.Traffic;

/** The views of the members under failures of processes and links; most cases are played for several seeds. */
class MembersHardCasesTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int SEEDS = 20;

    private static MembersWorld world(int n, long seed, Ways ways) {
        MembersWorld world = new MembersWorld(n, seed, ways, UnaryOperator.identity());
        IntStream.range(0, n).forEach(world::start);
        world.run(3 * SECOND);
        assertOneView(world, "seed " + seed + " at the start");
        return world;
    }

    private static void assertOneView(MembersWorld world, String what) {
        int there = (int) IntStream.range(0, world.size())
                .filter(i -> world.members(i) != null)
                .count();
        for (int i = 0; i < world.size(); i++) {
            if (world.members(i) != null) {
                assertThat(world.members(i).present())
                        .as("%s: how many router %d sees", what, i)
                        .isEqualTo(there);
                assertThat(world.members(i).doubt())
                        .as("%s: doubt of router %d", what, i)
                        .isEqualTo(LocalHealthIssue.NONE);
                assertThat(world.members(i).digest())
                        .as("%s: view of router %d", what, i)
                        .isEqualTo(first(world).digest());
            }
        }
    }

    private static slateseam.tier.members.Members first(MembersWorld world) {
        return world.members(IntStream.range(0, world.size())
                .filter(i -> world.members(i) != null)
                .findFirst()
                .orElseThrow());
    }

    private static List<MembersWorld.Seen> seen(MembersWorld world, Kind kind) {
        return world.seen().stream().filter(one -> one.change().kind() == kind).toList();
    }

    private static MemberView view(MembersWorld world, int by, int of) {
        return world.members(by).view().stream()
                .filter(one -> one.name().equals(MembersWorld.name(of)))
                .findFirst()
                .orElseThrow();
    }

    /**
     * A router that shut down 65 ms after its start, when it had introduced itself to all others but had heard none,
     * announced its shutdown only to the members it had heard. The others declared it failed 2.2 s later (seed 760430
     * of {@code simulate tier}). The announcement must also reach the routers to which it had introduced itself.
     */
    @Test
    void shutdownBeforeHearingAnyMemberIsKnownAsLeft() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.leave(3);
            world.run(2 * SECOND);
            world.start(3);
            String life = "life=" + world.members(3).life();
            while (seen(world, Kind.JOINED).stream()
                    .noneMatch(one -> one.change().why().startsWith(life))) {
                world.run(MS);
            }
            world.leave(3);
            world.run(SECOND);
            for (int other : new int[] {0, 1, 2, 4}) {
                assertThat(view(world, other, 3).state())
                        .as("seed %d, router %d", seed, other)
                        .isEqualTo(State.LEFT);
            }
        }
    }

    @Test
    void deadMemberIsDeclaredFailedByAllAndNoOtherIsSuspected() {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (int n : new int[] {3, 5, 9, 20}) {
                MembersWorld world = world(n, seed, Ways.USUAL);
                long death = world.now();
                world.kill(1);
                world.run(4 * SECOND);
                assertOneView(world, n + " routers, seed " + seed);
                assertThat(seen(world, Kind.FAILED))
                        .hasSize(n - 1)
                        .allMatch(one -> one.change().member().equals("router-2"))
                        .allMatch(one -> one.at() - death < 3 * SECOND);
                assertThat(seen(world, Kind.SUSPECTED))
                        .allMatch(one -> one.change().member().equals("router-2"));
            }
        }
    }

    @Test
    void announcedShutdownIsNoFailure() {
        MembersWorld world = world(5, 1, Ways.USUAL);
        world.leave(2);
        world.run(2 * SECOND);
        assertOneView(world, "after an end");
        assertThat(seen(world, Kind.LEFT)).hasSize(4);
        assertThat(seen(world, Kind.SUSPECTED)).isEmpty();
    }

    /** A router that is paused for 0.8 s of every 1.5 s during a minute is never declared failed. */
    @Test
    void repeatedlyPausedMemberIsNeverDeclaredFailed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            for (int i = 0; i < 40; i++) {
                world.pause(1, true);
                world.run(800 * MS);
                world.pause(1, false);
                world.run(700 * MS);
            }
            world.run(2 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).isEmpty();
            assertThat(seen(world, Kind.SUSPECTED))
                    .as("suspicions, seed " + seed)
                    .hasSizeLessThan(10);
            assertOneView(world, "seed " + seed);
        }
    }

    /**
     * After a pause of 30 s the other members have declared the router failed once; the resumed router suspects
     * nobody and distrusts its own view until it hears a majority again.
     */
    @Test
    void memberResumedAfterALongPauseSuspectsNobody() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.pause(1, true);
            world.run(30 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).hasSize(4).noneMatch(one -> one.by() == 1);
            world.pause(1, false);
            assertThat(world.members(1).doubt()).isEqualTo(LocalHealthIssue.PAUSED);
            world.run(3 * SECOND);
            assertThat(seen(world, Kind.SUSPECTED)).noneMatch(one -> one.by() == 1);
            assertThat(seen(world, Kind.FAILED)).hasSize(4);
            assertThat(seen(world, Kind.RETURNED)).hasSize(4);
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void minorityDeclaresNobodyFailed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            for (int i : new int[] {0, 2, 3}) {
                world.pause(i, true);
            }
            world.run(5 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).isEmpty();
            assertThat(world.members(1).doubt()).isEqualTo(LocalHealthIssue.MINORITY);
            assertThat(world.members(4).doubt()).isEqualTo(LocalHealthIssue.MINORITY);
            for (int i : new int[] {0, 2, 3}) {
                world.pause(i, false);
            }
            world.run(3 * SECOND);
            assertThat(seen(world, Kind.FAILED)).isEmpty();
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void membersPausedTogetherSuspectNobody() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            IntStream.range(0, 5).forEach(i -> world.pause(i, true));
            world.run(3 * SECOND);
            for (int i = 0; i < 5; i++) {
                world.pause(i, false);
                world.run(10 * MS);
            }
            world.run(2 * SECOND);
            assertThat(seen(world, Kind.FAILED)).isEmpty();
            assertThat(seen(world, Kind.SUSPECTED)).isEmpty();
            assertOneView(world, "seed " + seed);
        }
    }

    /** A one-way cut changes how a member is reached, but the member is not declared failed. */
    @Test
    void oneWayCutIsNoFailure() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.cut(0, 1, true);
            world.run(20 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).isEmpty();
            assertThat(seen(world, Kind.SUSPECTED)).as("seed " + seed).isEmpty();
            assertThat(view(world, 1, 0))
                    .extracting(MemberView::state, MemberView::reach)
                    .containsExactly(State.ALIVE, Reach.BY_OTHERS);
            assertThat(view(world, 0, 1))
                    .extracting(MemberView::state, MemberView::reach)
                    .containsExactly(State.ALIVE, Reach.DIRECT);
            assertThat(world.members(1).isSilent(MembersWorld.name(0))).isTrue();
            world.cut(0, 1, false);
            world.run(SECOND);
            assertOneView(world, "seed " + seed);
        }
    }

    /** Each member hears one other and is heard by the remaining one, which is enough for all to count as present. */
    @Test
    void circleOfOneWayLinksKeepsAllPresent() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(3, seed, Ways.USUAL);
            for (int i = 0; i < 3; i++) {
                world.cut(i, (i + 1) % 3, true);
            }
            world.run(20 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).isEmpty();
            assertThat(world.members(0).present()).isEqualTo(3);
        }
    }

    /**
     * If no message leaves a router, the others cannot distinguish it from a dead one; the router learns from the
     * messages it receives that it is unheard.
     */
    @Test
    void unheardMemberKnowsThatItIsUnheard() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.mute(1, true);
            world.run(5 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).hasSize(4).noneMatch(one -> one.by() == 1);
            assertThat(world.members(1).doubt()).isEqualTo(LocalHealthIssue.UNHEARD);
            world.run(15 * SECOND);
            assertThat(world.members(1).doubt()).isEqualTo(LocalHealthIssue.UNHEARD);
            assertThat(world.members(1).present()).isEqualTo(5);
            world.mute(1, false);
            world.run(3 * SECOND);
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void memberThatHearsNobodySuspectsNobody() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.deaf(1, true);
            world.run(20 * SECOND);
            assertThat(seen(world, Kind.SUSPECTED)).as("seed " + seed).isEmpty();
            assertThat(world.members(1).doubt()).isEqualTo(LocalHealthIssue.MINORITY);
            assertThat(world.members(0).present()).isEqualTo(5);
            world.deaf(1, false);
            world.run(2 * SECOND);
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void partitionedTierMergesWithoutLosingMembers() {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (int n : new int[] {4, 5, 9, 20}) {
                MembersWorld world = world(n, seed, Ways.USUAL);
                // With up to nine members all monitor all;
                // with more, only a part well below one half
                // is certain to detect that it is the minority.
                int fewer = n <= 9 ? n / 2 : n * 3 / 10;
                world.halve(fewer, true);
                world.run(20 * SECOND);
                for (int i = 0; i < n; i++) {
                    boolean most = i >= fewer && 2 * fewer < n;
                    assertThat(world.members(i).doubt())
                            .as("%d routers, seed %d, router %d", n, seed, i)
                            .isEqualTo(most ? LocalHealthIssue.NONE : LocalHealthIssue.MINORITY);
                    assertThat(world.members(i).present()).isEqualTo(most ? n - fewer : n);
                }
                world.halve(fewer, false);
                world.run(4 * SECOND);
                assertOneView(world, n + " routers, seed " + seed);
                assertThat(seen(world, Kind.FORGOTTEN)).isEmpty();
            }
        }
    }

    @Test
    void lostDuplicatedReorderedAndDelayedMessagesAreNoFailure() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(9, seed, Ways.USUAL);
            for (Ways ways : List.of(
                    Ways.USUAL.losing(0.2),
                    Ways.USUAL.losing(0.4),
                    new Ways(0, 1, 0.5, MS, 8 * MS),
                    new Ways(0, 0, 0, 3_000 * MS, 3_008 * MS))) {
                world.ways(ways);
                world.run(20 * SECOND);
                assertThat(seen(world, Kind.FAILED))
                        .as("seed %d, %s", seed, ways)
                        .isEmpty();
                world.ways(Ways.USUAL);
                world.run(5 * SECOND);
                assertOneView(world, "seed " + seed + ", " + ways);
            }
        }
    }

    @Test
    void stalledLinkThatDeliversAllAtOnceIsNoFailure() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            for (int other : new int[] {0, 2, 3}) {
                world.stall(1, other, true);
            }
            world.run(5 * SECOND);
            for (int other : new int[] {0, 2, 3}) {
                world.stall(1, other, false);
            }
            world.run(2 * SECOND);
            assertThat(seen(world, Kind.FAILED)).as("seed " + seed).isEmpty();
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void restartedMemberIsTheSameMemberInANewLife() {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (long away : new long[] {300 * MS, 3_000 * MS, 60_000 * MS}) {
                MembersWorld world = world(5, seed, Ways.USUAL);
                long before = view(world, 0, 1).life();
                world.kill(1);
                world.run(away);
                world.start(1, MembersWorld.name(1), away > SECOND ? 7_001 : 7_000);
                world.run(3 * SECOND);
                assertOneView(world, "seed " + seed + ", away " + away / MS);
                assertThat(view(world, 0, 1).life()).isGreaterThan(before);
                assertThat(view(world, 3, 1).place().getPort()).isEqualTo(away > SECOND ? 7_001 : 7_000);
                assertThat(seen(world, Kind.FAILED)).hasSize(away > SECOND ? 4 : 0);
                assertThat(seen(world, Kind.TWICE)).isEmpty();
            }
        }
    }

    /**
     * If a router's clock was set back between two lives, the others report the earlier life to it, and it takes a
     * later life than its clock gives.
     */
    @Test
    void clockSetBackBetweenTwoLivesIsCorrected() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = new MembersWorld(5, seed, Ways.USUAL, UnaryOperator.identity());
            world.clock(1, 5 * SECOND);
            world.clock(2, -5 * SECOND);
            IntStream.range(0, 5).forEach(world::start);
            world.run(5 * SECOND);
            assertOneView(world, "seed " + seed);
            world.kill(1);
            world.clock(1, -3_600 * SECOND);
            world.run(400 * MS);
            world.start(1);
            world.run(5 * SECOND);
            assertOneView(world, "seed " + seed);
            assertThat(seen(world, Kind.TWICE)).isEmpty();
            assertThat(seen(world, Kind.FAILED)).isEmpty();
        }
    }

    @Test
    void membersStartedTogetherWithOutdatedPeerListsFindOneAnother() {
        for (long seed = 0; seed < 5; seed++) {
            // One third of the hundred configured peers is no longer running.
            MembersWorld world = new MembersWorld(100, seed, Ways.USUAL.losing(0.05), UnaryOperator.identity());
            IntStream.range(0, 100).filter(i -> i % 3 != 0).forEach(world::start);
            world.run(5 * SECOND);
            assertOneView(world, "seed " + seed);
            assertThat(seen(world, Kind.SUSPECTED)).isEmpty();
        }
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            IntStream.range(0, 5).forEach(world::kill);
            world.run(500 * MS);
            for (int i = 0; i < 5; i++) {
                world.start(i);
                world.run(300 * MS);
            }
            world.run(2 * SECOND);
            assertOneView(world, "seed " + seed);
        }
    }

    @Test
    void duplicateNameIsReportedByBothAndStatesDoNotFlap() {
        for (long seed = 0; seed < SEEDS; seed++) {
            MembersWorld world = world(5, seed, Ways.USUAL);
            world.run(5 * SECOND);
            world.start(5, MembersWorld.name(1), 7_000);
            world.run(30 * SECOND);
            assertThat(seen(world, Kind.TWICE))
                    .as("seed " + seed)
                    .extracting(MembersWorld.Seen::by)
                    .contains(1);
            assertThat(seen(world, Kind.TWICE))
                    .extracting(MembersWorld.Seen::by)
                    .anyMatch(by -> by != 1);
            assertThat(seen(world, Kind.TWICE)).hasSizeLessThan(12);
            assertThat(world.members(1).isTwice()).isTrue();
            // The later of the two processes is the member, in a single life.
            assertThat(seen(world, Kind.JOINED).stream()
                            .filter(one ->
                                    one.by() == 0 && one.change().member().equals("router-2")))
                    .hasSize(2);
            assertThat(seen(world, Kind.FAILED)).isEmpty();
        }
    }

    /** A thousand different names join and disappear; the view does not grow. */
    @Test
    void failedMembersAreForgotten() {
        MembersWorld world = new MembersWorld(
                3,
                1,
                Ways.USUAL,
                usual -> new MembersSettings(
                        usual.tier(),
                        usual.name(),
                        usual.number(),
                        usual.peers(),
                        2_000 * MS,
                        usual.watchers(),
                        usual.suspicionNanos() * 10,
                        usual.recentNanos(),
                        300 * SECOND,
                        usual.most(),
                        true));
        IntStream.range(0, 3).forEach(world::start);
        world.run(20 * SECOND);
        for (int i = 0; i < 1_000; i++) {
            world.start(3, "guest-" + i, 7_000 + i);
            world.run(50 * SECOND);
            world.kill(3);
            world.run(36 * SECOND);
            assertThat(world.members(0).view()).hasSizeLessThan(12);
        }
        world.run(400 * SECOND);
        assertThat(world.members(0).view()).hasSize(2);
        assertThat(seen(world, Kind.FORGOTTEN)).hasSize(3_000);
        assertThat(world.members(0).doubt()).isEqualTo(LocalHealthIssue.NONE);
    }

    @Test
    void viewDoesNotExceedTheConfiguredMaximum() {
        MembersWorld world = new MembersWorld(
                1,
                1,
                Ways.USUAL,
                usual -> new MembersSettings(
                        usual.tier(),
                        usual.name(),
                        usual.number(),
                        usual.peers(),
                        usual.periodNanos(),
                        usual.watchers(),
                        usual.suspicionNanos(),
                        usual.recentNanos(),
                        usual.forgetNanos(),
                        8,
                        true));
        IntStream.range(0, 12).forEach(world::start);
        world.run(5 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertThat(world.members(i).view()).hasSizeLessThanOrEqualTo(8);
        }
        assertThat(seen(world, Kind.FULL)).isNotEmpty();
    }

    /**
     * A tier of thousands fits into the view; an unlimited number of names does not exceed the bound, which is
     * reported once, and the memory for each member stays bounded.
     */
    @Test
    void thousandsOfMembersFitAndTheBoundHolds() {
        int tier = 3_000;
        MembersWorld world = new MembersWorld(1, 1, Ways.USUAL, UnaryOperator.identity());
        world.start(0);
        for (int number = 1; number <= MembersSettings.MOST + 1_000; number++) {
            world.inject(
                    0, new InetSocketAddress("127.0.0.1", number), firstDatagram("guest-" + number, world.place(0)));
            if (number == tier) {
                assertThat(world.members(0).view()).hasSize(tier);
                assertThat(seen(world, Kind.FULL)).isEmpty();
            }
        }
        assertThat(world.members(0).view()).hasSize(MembersSettings.MOST);
        assertThat(seen(world, Kind.FULL)).hasSize(1);
        long entries = Census.of(world.members(0), "slateseam.tier.").values().stream()
                .mapToLong(entry -> entry)
                .sum();
        assertThat(entries).isLessThan(45L * MembersSettings.MOST);
    }

    /** Returns the first datagram that a router sends to a configured peer. */
    private static byte[] firstDatagram(String name, InetSocketAddress to) {
        byte[][] sent = new byte[1][];
        new Members(
                        MembersSettings.usual("tier", name, 1, List.of(to)),
                        MembersWorld.BEGIN,
                        new SplittableRandom(1),
                        new MembersPort() {
                            @Override
                            public void send(InetSocketAddress place, byte[] datagram) {
                                sent[0] = datagram;
                            }

                            @Override
                            public void changed(Change change) {
                                // only the datagram is of interest
                            }
                        })
                .tick(MembersWorld.BEGIN);
        return sent[0];
    }

    /** Datagrams with flipped bits or of an earlier life are dropped and counted, and the view does not change. */
    @Test
    void invalidDatagramsAreDroppedAndCounted() {
        MembersWorld world = world(3, 7, Ways.USUAL);
        MembersWorld heard = new MembersWorld(2, 1, Ways.USUAL, UnaryOperator.identity());
        byte[][] kept = new byte[1][];
        slateseam.tier.members.Members other = new slateseam.tier.members.Members(
                MembersSettings.usual("tier", "router-2", 1, List.of(world.place(0))),
                MembersWorld.BEGIN - SECOND,
                new java.util.SplittableRandom(1),
                new slateseam.tier.members.MembersPort() {
                    @Override
                    public void send(InetSocketAddress to, byte[] datagram) {
                        kept[0] = datagram;
                    }

                    @Override
                    public void changed(slateseam.tier.members.Change change) {
                        // The changes are not examined.
                    }
                });
        other.tick(MembersWorld.BEGIN - SECOND);
        int digest = world.members(0).digest();
        for (int bit = 0; bit < kept[0].length * 8; bit++) {
            byte[] flipped = kept[0].clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            world.inject(0, world.place(1), flipped);
        }
        assertThat(world.members(0).count(Traffic.DROPPED_UNREADABLE)).isEqualTo(kept[0].length * 8L);
        world.inject(0, world.place(1), kept[0]);
        assertThat(world.members(0).count(Traffic.DROPPED_LATE))
                .as("of an earlier life")
                .isPositive();
        assertThat(world.members(0).digest()).isEqualTo(digest);
        assertThat(heard.size()).isZero();
    }
}
