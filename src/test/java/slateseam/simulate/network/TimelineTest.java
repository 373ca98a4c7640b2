package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class TimelineTest {
    @Test
    void happeningsComeByTimeAndThenInTheOrderInWhichTheyWereAdded() {
        Timeline timeline = new Timeline();
        Random random = new Random(1);
        List<long[]> waiting = new ArrayList<>();
        List<Long> ran = new ArrayList<>();
        for (long i = 0; i < 20_000; i++) {
            if (random.nextInt(5) < 3 || waiting.isEmpty()) {
                long number = i;
                waiting.add(new long[] {random.nextInt(100), number});
                timeline.add(waiting.get(waiting.size() - 1)[0], () -> ran.add(number));
            } else {
                long[] first = waiting.stream()
                        .min(Comparator.comparingLong((long[] w) -> w[0]).thenComparingLong(w -> w[1]))
                        .orElseThrow();
                waiting.remove(first);
                assertThat(timeline.next()).isEqualTo(first[0]);
                timeline.poll().run();
                assertThat(ran.get(ran.size() - 1)).isEqualTo(first[1]);
            }
        }
    }
}
