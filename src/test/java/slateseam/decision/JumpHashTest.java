package slateseam.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.hash.Hashing;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the jump consistent hash with Guava's implementation. */
class JumpHashTest {
    @Test
    void agreesWithGuava() {
        Random random = new Random(1);
        for (int i = 0; i < 20_000; i++) {
            long key = random.nextLong();
            int buckets = 1 + random.nextInt(300);
            assertEquals(Hashing.consistentHash(key, buckets), JumpHash.bucket(key, buckets));
        }
    }
}
