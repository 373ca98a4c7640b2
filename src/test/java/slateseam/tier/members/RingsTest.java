package slateseam.tier.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the watchers and subjects of {@link Rings} with a direct implementation of their definition while members
 * join and leave.
 */
final class RingsTest {
    private static final int STEPS = 300;
    private static final int MAX_MEMBERS = 40;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void watchersAndSubjectsMatchTheDefinition(int number) {
        SplittableRandom random = new SplittableRandom(number);
        Rings rings = new Rings(number);
        Set<Long> present = new TreeSet<>();
        List<Long> ids = new ArrayList<>();
        random.longs(MAX_MEMBERS).forEach(ids::add);
        rings.add(ids.get(0));
        present.add(ids.get(0));
        for (int step = 0; step < STEPS; step++) {
            int version = rings.version();
            long id = ids.get(1 + random.nextInt(MAX_MEMBERS - 1));
            boolean joins = random.nextInt(3) > 0;
            boolean changed = joins ? present.add(id) : present.remove(id);
            if (joins) {
                rings.add(id);
            } else {
                rings.remove(id);
            }

            assertThat(rings.size()).isEqualTo(present.size());
            assertThat(rings.version() != version).isEqualTo(changed);
            Map<Long, long[]> watchers = new HashMap<>();
            for (long one : ids) {
                watchers.put(one, watchers(present, number, one));
                assertThat(rings.watchers(one)).as("watchers of %s", one).containsExactly(watchers.get(one));
            }
            for (long one : present) {
                Set<Long> subjects = new TreeSet<>();
                present.stream()
                        .filter(other -> other != one && contains(watchers.get(other), one))
                        .forEach(subjects::add);
                assertThat(rings.subjects(one)).as("subjects of %s", one).containsExactlyInAnyOrderElementsOf(subjects);
            }
        }
    }

    private static boolean contains(long[] all, long one) {
        for (long each : all) {
            if (each == one) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the watchers by definition: on each ring in turn, the first successor of the member that does not watch
     * it yet.
     */
    private static long[] watchers(Set<Long> present, int rings, long id) {
        Set<Long> watchers = new LinkedHashSet<>();
        for (int i = 0; i < rings && watchers.size() < present.size() - 1; i++) {
            NavigableMap<Long, Long> ring = new TreeMap<>(Long::compareUnsigned);
            for (long one : present) {
                ring.put(Ids.ringPosition(i, one), one);
            }
            List<Long> after =
                    new ArrayList<>(ring.tailMap(Ids.ringPosition(i, id), false).values());
            after.addAll(ring.headMap(Ids.ringPosition(i, id), true).values());
            for (long next : after) {
                if (next != id && watchers.add(next)) {
                    break;
                }
            }
        }
        return watchers.stream().mapToLong(one -> one).toArray();
    }
}
