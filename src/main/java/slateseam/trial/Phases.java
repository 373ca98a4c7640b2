package slateseam.trial;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.useragent.Answer;
import slateseam.standin.useragent.Outcomes;
import slateseam.standin.useragent.Request;

/** What user agents got, by the phase in which they first asked; a phase ends where a fault begins or ends. */
final class Phases implements Outcomes {
    private static final long SECOND = 1_000_000_000L;
    /** Parts of the served share by which a second may be under the calm ones and still be like them. */
    private static final double LIKE_CALM = 0.03;
    private static final int CALM_SECONDS = 3;

    /** One phase; times are nanoseconds since the trial's begin. */
    static final class Phase {
        final long from;
        final long until;
        final String faults;
        final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
        long asked;
        /** What the origin counted within it. */
        long fetches;
        long turnedAway;
        double leastSupply = Double.NaN;
        double mostSupply = Double.NaN;
        double mostShare;

        Phase(long from, long until, String faults) {
            this.from = from;
            this.until = until;
            this.faults = faults;
        }

        /** How many ended so. */
        long of(Ending... which) {
            long sum = 0;
            for (Ending one : which) {
                sum += endings.getOrDefault(one, 0L);
            }
            return sum;
        }

        /** Those that got no answer in the time that they had. */
        long lost() {
            return of(Ending.GIVEN_UP, Ending.BROKEN, Ending.UNREACHABLE);
        }

        /** The part that was served of what ended in any way but by its user agent's own will. */
        double servedPart() {
            long all = asked - of(Ending.LEFT);
            return all <= 0 ? 1 : (double) of(Ending.SERVED) / all;
        }

        void supply(double sum, double largest) {
            leastSupply = Double.isNaN(leastSupply) ? sum : Math.min(leastSupply, sum);
            mostSupply = Double.isNaN(mostSupply) ? sum : Math.max(mostSupply, sum);
            mostShare = Math.max(mostShare, largest);
        }
    }

    private final long begin;
    private final List<Phase> phases = new ArrayList<>();
    /** By second of the first try: asked, and served. */
    private final List<long[]> seconds = new ArrayList<>();
    private final List<Fault> faults;
    private long unasked;

    Phases(long begin, long duration, List<Fault> faults) {
        this.begin = begin;
        this.faults = faults;
        TreeSet<Long> bounds = new TreeSet<>(List.of(0L, duration));
        faults.forEach(fault -> {
            bounds.add(Math.min(fault.at(), duration));
            bounds.add(Math.min(fault.until(), duration));
        });
        List<Long> all = List.copyOf(bounds);
        for (int i = 0; i + 1 < all.size(); i++) {
            long from = all.get(i);
            phases.add(new Phase(from, all.get(i + 1), String.join(", ", faults.stream()
                    .filter(fault -> fault.at() <= from && from < Math.max(fault.until(), fault.at() + 1))
                    .map(fault -> (fault.kind().word() + " " + String.join(" ", fault.targets())).strip()).toList())));
        }
    }

    List<Phase> all() {
        return phases;
    }

    /** The phase of a time; the last one is also that of all times behind it. */
    Phase at(long unixNanos) {
        long since = unixNanos - begin;
        return phases.stream().filter(phase -> since < phase.until).findFirst().orElse(phases.get(phases.size() - 1));
    }

    /** How often bytes came that nobody had asked for. */
    long unasked() {
        return unasked;
    }

    @Override
    public void asked(Request request) {
        at(request.asked()).asked++;
        second(request)[0]++;
    }

    @Override
    public void answered(Request request, String id, Answer answer, long at) {
        // Counted where the request ends.
    }

    @Override
    public void ended(Request request, Ending ending, long at) {
        at(request.asked()).endings.merge(ending, 1L, Long::sum);
        second(request)[1] += ending == Ending.SERVED ? 1 : 0;
    }

    @Override
    public void unasked(String userAgent, String router, long at) {
        unasked++;
    }

    private long[] second(Request request) {
        int second = (int) Math.max(0, (request.asked() - begin) / SECOND);
        while (seconds.size() <= second) {
            seconds.add(new long[2]);
        }
        return seconds.get(second);
    }

    /** Seconds from a fault's end until three in a row are like the first phase; -1 if none are. */
    int backAfter(Fault fault) {
        double calm = phases.get(0).servedPart() - LIKE_CALM;
        int from = (int) ((fault.until() + SECOND - 1) / SECOND);
        int row = 0;
        for (int i = from; i < seconds.size(); i++) {
            long[] of = seconds.get(i);
            row = of[0] == 0 || (double) of[1] / of[0] >= calm ? row + 1 : 0;
            if (row == CALM_SECONDS) {
                return i - CALM_SECONDS + 1 - from;
            }
        }
        return -1;
    }

    List<Fault> faults() {
        return faults;
    }
}
