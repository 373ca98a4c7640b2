package slateseam.simulate.check;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** The rules that were broken: the first of them whole, all of them counted. */
final class Report {
    private static final int MOST = 200;

    private final LongSupplier clock;
    private final List<Breach> first = new ArrayList<>();
    private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

    Report(LongSupplier clock) {
        this.clock = clock;
    }

    long now() {
        return clock.getAsLong();
    }

    void breach(Rule rule, RouterState router, String request, String text) {
        breach(rule, router == null ? "" : router.name(), request, text);
    }

    void breach(Rule rule, String router, String request, String text) {
        counts.merge(rule, 1L, Long::sum);
        if (first.size() < MOST) {
            first.add(new Breach(rule, now(), router, request, text));
        }
    }

    List<Breach> first() {
        return List.copyOf(first);
    }

    Map<Rule, Long> counts() {
        return new EnumMap<>(counts);
    }
}
