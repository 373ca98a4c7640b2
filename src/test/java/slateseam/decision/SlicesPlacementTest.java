package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;
import slateseam.router.membership.Endpoint;
import slateseam.router.membership.Membership;
import slateseam.router.membership.MembershipSettings;
import slateseam.router.membership.Slice;
import slateseam.router.net.Hash;

/** Checks on which cache servers keys are placed when the member list comes from endpoint slices. */
class SlicesPlacementTest {
    private static final int SERVERS = 100;
    private static final int KEYS = 20_000;

    private final Membership membership = new Membership(MembershipSettings.USUAL);
    private final World world = new World(World.settings(0, 1, false, List.of()), 7);
    private long version = 10;

    private static Endpoint endpoint(int i) {
        return new Endpoint(
                List.of("10.0.0." + i),
                true,
                null,
                null,
                "a",
                null,
                List.of(),
                UUID.nameUUIDFromBytes(new byte[] {(byte) i}).toString(),
                "pod");
    }

    private Slice slice(String name, int from, int to) {
        return new Slice(
                name,
                "of-" + name,
                ++version,
                false,
                1,
                IntStream.range(from, to)
                        .mapToObj(SlicesPlacementTest::endpoint)
                        .toList(),
                Map.of(),
                Map.of());
    }

    /** Applies the current membership and returns the cache server of each key. */
    private long[] homes() {
        List<Member> members = new ArrayList<>();
        members.add(World.member(World.ORIGIN, MemberState.READY, 0));
        membership
                .servers(version * MS)
                .forEach(s -> members.add(new Member(
                        Hash.of(s.name().getBytes(StandardCharsets.UTF_8)) >>> 1,
                        0,
                        0,
                        0,
                        s.ready() ? MemberState.READY : MemberState.DRAINING,
                        s.weight(),
                        s.bornAtNanos())));
        world.on(new MembersChanged(ListKind.FULL, members));
        return IntStream.range(0, KEYS)
                .mapToLong(key -> {
                    world.actions.clear();
                    return world.homeOf(JumpHash.mix(key + 1));
                })
                .toArray();
    }

    private static long moved(long[] before, long[] after) {
        return IntStream.range(0, KEYS).filter(i -> before[i] != after[i]).count();
    }

    /**
     * If all but a few servers of a large farm drain, the keys are spread over all that remain and not over one of
     * them.
     */
    @Test
    void theFewServersLeftOfManyShareTheKeys() {
        int listed = 1_024;
        int remaining = 16;
        List<Member> members = new ArrayList<>();
        members.add(World.member(World.ORIGIN, MemberState.READY, 0));
        for (int i = 0; i < listed; i++) {
            members.add(
                    World.member(10 + i, i % (listed / remaining) == 0 ? MemberState.READY : MemberState.DRAINING, 0));
        }
        world.on(new MembersChanged(ListKind.FULL, members));
        Map<Long, Long> keysOf = IntStream.range(0, KEYS)
                .mapToObj(key -> {
                    world.actions.clear();
                    return world.homeOf(JumpHash.mix(key + 1));
                })
                .collect(Collectors.groupingBy(home -> home, Collectors.counting()));
        assertThat(keysOf).doesNotContainKey(-1L).hasSize(remaining);
        assertThat(Collections.max(keysOf.values()))
                .as("keys of the server with the most keys")
                .isLessThan(KEYS / 3);
    }

    /** Repacking endpoints into other slices moves no keys; removing a server moves only the keys of that server. */
    @Test
    void repackingMovesNoKeysAndRemovalMovesOnlyKeysOfTheRemovedServer() {
        membership.listed(List.of(slice("a", 0, 50), slice("b", 50, SERVERS)), "12", 0);
        long[] before = homes();
        assertThat(before).doesNotContain(-1);
        for (int i = 0; i < 10; i++) {
            membership.changed(slice("n" + i, 10 * i, 10 * i + 10), 0);
        }
        membership.deleted("a", "of-a", ++version, 0);
        membership.deleted("b", "of-b", ++version, 0);
        version += 1_000;
        assertThat(moved(before, homes())).as("repacked").isZero();

        membership.changed(slice("n0", 1, 10), version * MS);
        version += 1_000;
        long[] after = homes();
        long removed = Hash.of(endpoint(0).targetUid().getBytes(StandardCharsets.UTF_8)) >>> 1;
        long keysOfRemoved =
                IntStream.range(0, KEYS).filter(i -> before[i] == removed).count();
        assertThat(moved(before, after))
                .as("one of a hundred servers removed")
                .isEqualTo(keysOfRemoved)
                .isBetween(100L, 400L);
    }
}
