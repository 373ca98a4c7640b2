package slateseam.simulate.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What all routers together sent to servers that started lately, by whether they had been told of the start.
 *
 * <p>Two things are judged by it: a fall of the server itself ({@link Rule#FALLEN}), which depends on how much work each
 * request happened to be, and the number of requests, each at its class's mean work ({@link Rule#RAMP}). A server of which
 * the settings say that it bears N of those in a window may get N + 2 x root of N + 2: what goes beyond a budget by chance.
 */
final class ColdStarts {
    /** The part of the work that must come from routers that were told, for a fall to be their doing. */
    private static final double MOST = 2.0 / 3;

    private static final double SECOND = 1e9;

    private record Sent(long nanos, double weight, boolean told) {}

    private static final class Start {
        final String host;
        final double requestsPerSecond;
        final long nanos;
        /** Of the last window. */
        final Deque<Sent> sent = new ArrayDeque<>();

        double weight;
        double toldWeight;
        /** Whether the ramp was left already; only the first time counts. */
        boolean over;

        Start(String host, double requestsPerSecond, long nanos) {
            this.host = host;
            this.requestsPerSecond = requestsPerSecond;
            this.nanos = nanos;
        }

        void add(Sent one) {
            sent.add(one);
            count(one, 1);
        }

        void forgetBefore(long time) {
            while (!sent.isEmpty() && sent.peek().nanos < time) {
                count(sent.poll(), -1);
            }
        }

        private void count(Sent one, int times) {
            weight += times * one.weight;
            toldWeight += one.told ? times * one.weight : 0;
        }
    }

    private final Figures.Cold figures;
    private final Report report;
    private final Map<String, Start> byHost = new HashMap<>();
    private final Map<String, Start> byDial = new HashMap<>();

    ColdStarts(Figures.Cold figures, Report report) {
        this.figures = figures;
        this.report = report;
    }

    void started(String host, String dial, double requestsPerSecond, long now) {
        Start start = new Start(host, requestsPerSecond, now);
        byHost.put(host, start);
        byDial.put(dial, start);
    }

    /** A router sent a request of so many times the mean work. */
    void sent(RouterState router, String dial, double weight, long now) {
        Start start = byDial.get(dial);
        if (start == null) {
            return;
        }
        long bornNanos = router.told.bornMillis(start.host) * 1_000_000L;
        start.add(new Sent(now, weight, bornNanos >= start.nanos - 1_000_000L));
        start.forgetBefore(now - figures.fallNanos());
        judgeRamp(start, now);
    }

    private void judgeRamp(Start start, long now) {
        long age = now - start.nanos;
        if (start.over || age >= figures.warmNanos()) {
            return;
        }
        double bears = figures.multiple() * start.requestsPerSecond * figures.share(age) * figures.fallNanos() / SECOND;
        double most = bears + 2 * Math.sqrt(bears) + 2;
        if (start.weight <= most) {
            return;
        }
        start.over = true;
        if (start.toldWeight > MOST * start.weight) {
            report.breach(
                    Rule.RAMP,
                    "",
                    "",
                    String.format(
                            Locale.ROOT,
                            "%s got requests of %.1f times the mean work in %d ms, %d ms after its start, where %.1f of %.1f may be "
                                    + "chance; %.1f were of routers that had been told",
                            start.host,
                            start.weight,
                            figures.fallNanos() / 1_000_000,
                            age / 1_000_000,
                            most,
                            bears,
                            start.toldWeight));
        }
    }

    /**
     * A server fell; returns how many of the requests lately sent to it came from routers that were told, or null if
     * too few.
     */
    String fell(String host, long now) {
        Start start = byHost.get(host);
        if (start == null) {
            return null;
        }
        start.forgetBefore(now - figures.fallNanos());
        int all = start.sent.size();
        long told = start.sent.stream().filter(Sent::told).count();
        return all > 0 && told >= MOST * all
                ? told + " of " + all + " requests in the last "
                        + figures.fallNanos() / 1_000_000 + " ms came from routers that had been told of its start "
                        + (now - start.nanos) / 1_000_000 + " ms before"
                : null;
    }
}
