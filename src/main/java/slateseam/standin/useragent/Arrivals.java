package slateseam.standin.useragent;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The requests of one process, drawn ahead: they come as a Poisson process whose rate goes up and down, and wait for
 * nothing. Each takes the same number of draws whether it is asked or not.
 */
final class Arrivals {
    private static final double SECOND = 1e9;

    private final String userAgent;
    private final Surroundings at;
    private final UniformRandomProvider random;
    private final double perNano;
    private final int firstNumber;
    private final RateFigures.Surge surge;
    private long nanos;
    private int number;

    /** All requests but those that a surge adds. */
    Arrivals(UserAgentFigures figures, Surroundings at, UniformRandomProvider random) {
        this(figures, at, random, figures.rate(), 0, null);
    }

    /** Those that a surge adds. */
    Arrivals(
            UserAgentFigures figures,
            Surroundings at,
            UniformRandomProvider random,
            RateFigures.Surge surge,
            int firstNumber) {
        this(figures, at, random, figures.rate() * (surge.factor() - 1), firstNumber, surge);
    }

    private Arrivals(
            UserAgentFigures figures,
            Surroundings at,
            UniformRandomProvider random,
            double rate,
            int firstNumber,
            RateFigures.Surge surge) {
        this.userAgent = figures.name();
        this.at = at;
        this.random = random;
        this.perNano = rate * (1 + at.rate().swing()) / SECOND;
        this.firstNumber = firstNumber;
        this.surge = surge;
        this.nanos = surge == null ? 0 : surge.from();
    }

    /** The next request that is asked; null when there is none left. */
    Request next() {
        long end = surge == null ? at.durationNanos() : Math.min(surge.until(), at.durationNanos());
        while (perNano > 0) {
            // Cut off, so that a rate next to nothing cannot run over the end of time.
            nanos += (long) Math.min(1e18, -StrictMath.log(1 - random.nextDouble()) / perNano);
            if (nanos >= end || nanos < 0) {
                return null;
            }
            double accepted = random.nextDouble();
            ClassFigures kind = pick(at.classes(), random.nextDouble());
            TenantFigures tenant = pickTenant(at.tenants(), random.nextDouble());
            String key = at.popularity().key(at.popularity().rank(random.nextDouble()), nanos);
            long seed = random.nextLong();
            boolean comes = accepted * (1 + at.rate().swing()) < at.rate().swung(nanos, surge == null);
            if (comes) {
                int own = firstNumber + number++;
                if (at.asks().test(userAgent, own)) {
                    return new Request(userAgent, own, kind, tenant, key, seed, at.begin() + nanos);
                }
            }
        }
        return null;
    }

    private static ClassFigures pick(List<ClassFigures> all, double drawn) {
        double left = drawn * all.stream().mapToDouble(ClassFigures::share).sum();
        for (ClassFigures one : all) {
            left -= one.share();
            if (left < 0) {
                return one;
            }
        }
        return all.get(all.size() - 1);
    }

    private static TenantFigures pickTenant(List<TenantFigures> all, double drawn) {
        double left = drawn * all.stream().mapToDouble(TenantFigures::asks).sum();
        for (TenantFigures one : all) {
            left -= one.asks();
            if (left < 0) {
                return one;
            }
        }
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }
}
