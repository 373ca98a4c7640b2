package slateseam.router.hot;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slateseam.router.net.Bytes;
import slateseam.router.request.Names;

class SpaceSavingTest {
    @Test
    void aCountIsNeverTooLowAndTooHighByTheBoundAtMost() {
        SpaceSaving counts = new SpaceSaving(50);
        Map<String, Long> exact = new HashMap<>();
        Random random = new Random(7);
        for (int round = 0; round < 2; round++) {
            counts.clear();
            exact.clear();
            for (int i = 0; i < 20_000; i++) {
                int tenant = random.nextInt(3);
                // Uneven, with far more keys than counters.
                String key = "k" + (int) Math.pow(2_000, random.nextDouble());
                counts.count(tenant, Bytes.of(key));
                exact.merge(tenant + key, 1L, Long::sum);
            }
            List<SpaceSaving.Count> top = counts.top(100);
            assertThat(counts.mostError()).isEqualTo(400);
            assertThat(top)
                    .hasSize(50)
                    .isSortedAccordingTo((a, b) -> Long.compare(b.count(), a.count()))
                    .extracting(c -> c.tenant() + Bytes.text(ByteBuffer.wrap(c.key())))
                    .doesNotHaveDuplicates();
            assertThat(top.stream().mapToLong(SpaceSaving.Count::count).sum()).isEqualTo(20_000);
            assertThat(top)
                    .allSatisfy(c -> assertThat(
                                    c.count() - exact.get(c.tenant() + Bytes.text(ByteBuffer.wrap(c.key()))))
                            .isBetween(0L, 400L));
        }
    }

    @Test
    void longKeysStayDistinctThoughTheyLookAlike() {
        SpaceSaving counts = new SpaceSaving(8);
        for (int i = 0; i < 6; i++) {
            counts.count(0, Bytes.of("x".repeat(300) + i % 3));
        }
        counts.count(0, Bytes.of("x".repeat(256)));
        assertThat(counts.top(8)).allMatch(c -> c.key().length <= 264); // or they would fill the memory
        assertThat(counts.top(8)).extracting(SpaceSaving.Count::count).containsExactly(2L, 2L, 2L, 1L);
        assertThat(counts.top(8))
                .extracting(c -> Names.key(c.key()))
                .containsExactly("x".repeat(256) + "…", "x".repeat(256) + "…", "x".repeat(256) + "…", "x".repeat(256));
    }

    @Test
    void noKeyForgesALine() {
        assertThat(Names.key(Bytes.of("k\nhot t=a rate=9/s\u0085"))).isEqualTo("k?hot?t=a?rate=9/s?");
    }
}
