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
    private static final long MAX_REPORT_AGE_NANOS = 3 * SECOND / 2;
    /** Number of past seconds whose sums are kept. */
    private static final int KEPT_SECONDS = 5;
    /** Minimum number of requests for a meaningful share. */
    static final int MIN_REQUESTS = 40;

    /** The last report of another router. */
    private record Report(PolicyMessage.Poll poll, long at) {}

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
                shares[i] = (byte) (asked[i] < MIN_REQUESTS ? 255 : Math.min(255, 255 * served[i] / asked[i]));
            }
            shares[PolicyMessage.CLASSES] = (byte) (all < MIN_REQUESTS ? 0 : Math.min(255, 255 * refused / all));
            return shares;
        }
    }

    private final Map<Integer, Report> children = new HashMap<>();
    private final Deque<Sum> recentSums = new ArrayDeque<>();
    private Tally previous;
    private Sum own = new Sum();
    private long nextAt;

    /** Records another router's report on itself and on the routers that report to it. */
    void report(PolicyMessage.Poll poll, long now) {
        children.put(poll.from(), new Report(poll, now));
    }

    /** Returns whether a one-second interval has ended, in which case the sums of that second are updated. */
    boolean tick(Tally tally, long now) {
        if (now < nextAt) {
            return false;
        }
        nextAt = now + SECOND;
        own = new Sum();
        for (int i = 0; previous != null && i < Math.min(PolicyMessage.CLASSES, tally.asked().length); i++) {
            own.asked[i] = tally.asked()[i] - (i < previous.asked().length ? previous.asked()[i] : 0);
            own.served[i] = tally.served()[i] - (i < previous.served().length ? previous.served()[i] : 0);
        }
        own.refused = previous == null ? 0 : tally.refused() - previous.refused();
        previous = tally;
        recentSums.add(sum(now));
        if (recentSums.size() > KEPT_SECONDS) {
            recentSums.poll();
        }
        return true;
    }

    /** Returns the last second's sum of this router and of all routers that report to it. */
    Sum sum(long now) {
        children.values().removeIf(report -> now - report.at > MAX_REPORT_AGE_NANOS);
        Sum sum = new Sum();
        sum.add(own);
        for (Report report : children.values()) {
            for (int i = 0; i < PolicyMessage.CLASSES; i++) {
                sum.asked[i] += report.poll.asked()[i];
                sum.served[i] += report.poll.served()[i];
            }
            sum.refused += report.poll.refused();
        }
        return sum;
    }

    /** Returns the sum over the last seconds. */
    Sum recent() {
        Sum sum = new Sum();
        recentSums.forEach(sum::add);
        return sum;
    }
}
