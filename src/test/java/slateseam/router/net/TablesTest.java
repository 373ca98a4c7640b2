package slateseam.router.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import slateseam.router.net.Deadlines.Deadline;

/** Slots, deadlines and the log's bound. */
class TablesTest {
    @Test
    void aTicketNeverMeetsTheEntryThatUsesItsSlotNext() {
        Slots<String> slots = new Slots<>(1);
        long first = slots.add("first");
        assertThat(slots.isFull()).isTrue();
        assertThatThrownBy(() -> slots.add("more")).isInstanceOf(IllegalStateException.class);
        assertThat(slots.remove(first)).isEqualTo("first");
        long second = slots.add("second");
        assertThat(second).isNotEqualTo(first);
        assertThat(slots.get(first)).isNull();
        assertThat(slots.remove(first)).isNull();
        assertThat(slots.get(second)).isEqualTo("second");
        assertThat(slots.get(-1)).isNull();
    }

    @Test
    void theTableGrowsToItsLimitAndGivesSlotsOnceMore() {
        Slots<Integer> slots = new Slots<>(100);
        List<Long> tickets = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 100; i++) {
                tickets.add(slots.add(i));
            }
            assertThat(slots.isFull()).isTrue();
            tickets.subList(100 * round, 100 * round + 100).forEach(slots::remove);
            assertThat(slots.size()).isZero();
        }
        assertThat(tickets).doesNotHaveDuplicates();
    }

    @Test
    void deadlinesComeInOrderAndOnlyWhenDue() {
        Deadlines deadlines = new Deadlines();
        List<String> done = new ArrayList<>();
        deadlines.set(20, () -> done.add("third"));
        deadlines.set(10, () -> done.add("first"));
        deadlines.set(10, () -> done.add("second"));
        deadlines.cancel(deadlines.set(5, () -> done.add("cancelled")));
        deadlines.cancel(null);
        assertThat(deadlines.next()).isEqualTo(10);
        assertThat(deadlines.due(9)).isNull();
        for (Runnable action; (action = deadlines.due(20)) != null; ) {
            action.run();
        }
        assertThat(done).containsExactly("first", "second", "third");
        assertThat(deadlines.next()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void deadlinesKeepTheirOrderWhicheverAreCancelled() {
        Deadlines deadlines = new Deadlines();
        SplittableRandom random = new SplittableRandom(7);
        List<Deadline> set = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            int time = random.nextInt(100);
            // Ordered by time, then by when it was set.
            int name = 1000 * time + i;
            set.add(deadlines.set(time, () -> done.add(name)));
            expected.add(name);
            if (random.nextInt(3) > 0) {
                int gone = random.nextInt(expected.size());
                expected.remove(gone);
                deadlines.cancel(set.remove(gone));
            }
        }
        Collections.sort(expected);
        for (Runnable action; (action = deadlines.due(100)) != null; ) {
            action.run();
        }
        set.forEach(deadlines::cancel); // too late, which changes nothing
        assertThat(done).hasSizeGreaterThan(100).isEqualTo(expected);
        assertThat(deadlines.next()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void theLogIsBoundedForEachKindAndKeepsToOneLine() {
        long[] now = {0};
        List<String> out = new ArrayList<>();
        Log log = new Log("n1", () -> now[0], out::add);
        for (int i = 0; i < 8; i++) {
            log.line("farm-malformed", "line\n" + i);
        }
        log.line("overdue", "another kind");
        now[0] = 1_000_000_000L;
        log.line("farm-malformed", "later");
        assertThat(out)
                .hasSize(7)
                .contains(
                        "n1: farm-malformed: line?4",
                        "n1: overdue: another kind",
                        "n1: farm-malformed: later (and 3 such lines before)");
    }

    /** A loop that is held up by one happening, or stands still while it waits, tells for how long others waited for it. */
    @Test
    void theLongestStallIsToldOnceAndThenForgotten() throws Exception {
        long[] now = {1_000_000_000L};
        Loop loop = new Loop(() -> now[0], new Log("n0", () -> now[0], line -> {}));
        loop.after(0, () -> now[0] += 700 * Clock.MILLI);
        loop.round(0);
        loop.round(0);
        assertThat(loop.takeStall()).isEqualTo(700 * Clock.MILLI);
        assertThat(loop.takeStall()).isZero();
        loop.round(0);
        now[0] += 300 * Clock.MILLI; // between two rounds: the next begins late
        loop.round(0);
        assertThat(loop.takeStall()).isEqualTo(300 * Clock.MILLI);
    }
}
