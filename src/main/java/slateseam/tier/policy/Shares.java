package slateseam.tier.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import slateseam.tier.policy.PolicyPort.Tally;

/** Requests per second that arrived and were served, at this router and at all routers that report to it. */
final class Shares {
    private static final long SECOND = 1_000_000_000L;
    /** Time for which the sums that another router reported are used. */
    private static final long FRESH_NANOS = 3 * SECOND / 2;
    /** Number of past seconds whose sums are kept. */
    private static final int KEPT = 5;
    /** Minimum number of requests for a meaningful share. */
    static final int LEAST_ASKED = 40;

    /** The last report of another router. */
    private record Told(PolicyMessage.Poll poll, long at) {}

    /** Sums of requests over a time. */
    static final class Sum {
        final long[] asked = new long[PolicyMessage.CLASSES];
        final long[] served = new long[PolicyMessage.CLASSES];
        long refused;

        void add(Sum other) {
            for (int i = 0; i < PolicyMessage.CLASSES; i++) {
                asked[i] += other.asked[i];
                served[i] += other.served[i];
            }
            refused += other.refused;
        }

        /**
         * Returns the served share of each class and, last, the refused share of all requests, in 255ths. With too
         * few requests, a served share is 255 and the refused share is 0.
         */
        byte[] shares() {
            byte[] shares = new byte[PolicyMessage.CLASSES + 1];
            long all = 0;
            for (int i = 0; i < PolicyMessage.CLASSES; i++) {
                all += asked[i];
                shares[i] = (byte) (asked[i] < LEAST_ASKED ? 255 : Math.min(255, 255 * served[i] / asked[i]));
            }
            shares[PolicyMessage.CLASSES] = (byte) (all < LEAST_ASKED ? 0 : Math.min(255, 255 * refused / all));
            return shares;
        }
    }

    private final Map<Integer, Told> children = new HashMap<>();
    private final Deque<Sum> last = new ArrayDeque<>();
    private Tally before;
    private Sum own = new Sum();
    private long nextAt;

    /** Records another router's report on itself and on the routers that report to it. */
    void told(PolicyMessage.Poll poll, long now) {
        children.put(poll.from(), new Told(poll, now));
    }

    /** Returns whether a one-second interval has ended, in which case the sums of that second are updated. */
    boolean tick(Tally tally, long now) {
        if (now < nextAt) {
            return false;
        }
        nextAt = now + SECOND;
        own = new Sum();
        for (int i = 0; before != null && i < Math.min(PolicyMessage.CLASSES, tally.asked().length); i++) {
            own.asked[i] = tally.asked()[i] - (i < before.asked().length ? before.asked()[i] : 0);
            own.served[i] = tally.served()[i] - (i < before.served().length ? before.served()[i] : 0);
        }
        own.refused = before == null ? 0 : tally.refused() - before.refused();
        before = tally;
        last.add(sum(now));
        if (last.size() > KEPT) {
            last.poll();
        }
        return true;
    }

    /** Returns the last second's sum of this router and of all routers that report to it. */
    Sum sum(long now) {
        children.values().removeIf(told -> now - told.at > FRESH_NANOS);
        Sum sum = new Sum();
        sum.add(own);
        for (Told told : children.values()) {
            for (int i = 0; i < PolicyMessage.CLASSES; i++) {
                sum.asked[i] += told.poll.asked()[i];
                sum.served[i] += told.poll.served()[i];
            }
            sum.refused += told.poll.refused();
        }
        return sum;
    }

    /** Returns the sum over the last seconds. */
    Sum recent() {
        Sum sum = new Sum();
        last.forEach(sum::add);
        return sum;
    }
}
