package slateseam.simulate;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.Counter;
import slateseam.standin.Counters;
import slateseam.standin.useragent.Outcomes;
import slateseam.standin.useragent.Request;

/** What user agents got, by the phase in which they first asked; a phase ends where a fault begins or ends. */
public final class ServiceByPhase implements Outcomes {
    private static final long SECOND = 1_000_000_000L;
    /** Parts of the served share by which a second may be under the calm ones and still be like them. */
    private static final double LIKE_CALM = 0.03;

    private static final int CALM_SECONDS = 3;

    /** One phase; times are nanoseconds since the beginning. */
    public static final class Phase {
        private final long from;
        private long until;
        private String faults;
        private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
        private long asked;
        private long fetches;
        private long turnedAway;
        private double leastSupply = Double.NaN;
        private double mostSupply = Double.NaN;
        private double mostShare;

        private Phase(long from, long until, String faults) {
            this.from = from;
            this.until = until;
            this.faults = faults;
        }

        /** When it begins. */
        public long from() {
            return from;
        }

        /** When it ends. */
        public long until() {
            return until;
        }

        /** The faults that last through it, by their words and targets; empty for none. */
        public String faults() {
            return faults;
        }

        /** Requests that were first asked in it. */
        public long asked() {
            return asked;
        }

        /** Values that the origin gave. */
        public long fetches() {
            return fetches;
        }

        /** What the origin turned away. */
        public long turnedAway() {
            return turnedAway;
        }

        /** The least of the budget that was used together; no number if nobody told. */
        public double leastSupply() {
            return leastSupply;
        }

        /** The most of it. */
        public double mostSupply() {
            return mostSupply;
        }

        /** The largest part at one router. */
        public double largestPart() {
            return mostShare;
        }

        /** How many ended so. */
        public long of(Ending... which) {
            long sum = 0;
            for (Ending one : which) {
                sum += endings.getOrDefault(one, 0L);
            }
            return sum;
        }

        /** Those that got no answer in the time that they had. */
        public long lost() {
            return of(Ending.GIVEN_UP, Ending.BROKEN, Ending.UNREACHABLE);
        }

        /** The part that was served of what ended in any way but by its user agent's own will. */
        public double servedPart() {
            long all = asked - of(Ending.LEFT);
            return all <= 0 ? 1 : (double) of(Ending.SERVED) / all;
        }

        /** The routers use so much of the budget together just now, and one of them so much of it. */
        public void supply(double sum, double largest) {
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
    private long fetchesBefore;
    private long turnedBefore;

    /** Cuts a day into phases; the beginning is Unix time in nanoseconds. */
    public ServiceByPhase(long begin, long duration, List<Fault> faults) {
        this.begin = begin;
        this.faults = new ArrayList<>(
                faults.stream().filter(fault -> !(fault instanceof Fault.Cued)).toList());
        faults = this.faults;
        TreeSet<Long> bounds = new TreeSet<>(List.of(0L, duration));
        faults.forEach(fault -> {
            bounds.add(Math.min(fault.at(), duration));
            bounds.add(Math.min(fault.until(), duration));
        });
        List<Long> all = List.copyOf(bounds);
        for (int i = 0; i + 1 < all.size(); i++) {
            long from = all.get(i);
            phases.add(new Phase(
                    from,
                    all.get(i + 1),
                    String.join(
                            ", ",
                            faults.stream()
                                    .filter(fault ->
                                            fault.at() <= from && from < Math.max(fault.until(), fault.at() + 1))
                                    .map(ServiceByPhase::text)
                                    .toList())));
        }
    }

    private static String text(Fault fault) {
        return (fault.kind().word() + " " + String.join(" ", fault.targets())).strip();
    }

    /** A fault has come that waited for its cue: the phases that it falls into are cut there. */
    public void come(Fault fault) {
        faults.add(fault);
        long duration = phases.get(phases.size() - 1).until;
        cut(Math.min(fault.at(), duration));
        cut(Math.min(fault.until(), duration));
        for (Phase phase : phases) {
            if (fault.at() <= phase.from && phase.from < Math.max(fault.until(), fault.at() + 1)) {
                phase.faults = phase.faults.isEmpty() ? text(fault) : phase.faults + ", " + text(fault);
            }
        }
    }

    private void cut(long at) {
        for (int i = 0; i < phases.size(); i++) {
            Phase phase = phases.get(i);
            if (phase.from < at && at < phase.until) {
                phases.add(i + 1, new Phase(at, phase.until, phase.faults));
                phase.until = at;
                return;
            }
        }
    }

    /** All phases, in their order. */
    public List<Phase> all() {
        return phases;
    }

    /** The phase of a time; the last one is also that of all times behind it. */
    public Phase at(long unixNanos) {
        long since = unixNanos - begin;
        return phases.stream().filter(phase -> since < phase.until).findFirst().orElse(phases.get(phases.size() - 1));
    }

    /** How often bytes came that nobody had asked for. */
    public long unasked() {
        return unasked;
    }

    /** What the origin has counted so far; what is new belongs to this phase. */
    public void origin(Phase phase, Counters tallies) {
        long fetched = tallies.of(Counter.FETCHED);
        long turned = tallies.of(Counter.TURNED_AWAY);
        phase.fetches += fetched - fetchesBefore;
        phase.turnedAway += turned - turnedBefore;
        fetchesBefore = fetched;
        turnedBefore = turned;
    }

    @Override
    public void asked(Request request) {
        at(request.asked()).asked++;
        second(request)[0]++;
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
    public int backAfter(Fault fault) {
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

    /** The faults of the day, those that waited for a cue as soon as they came. */
    public List<Fault> faults() {
        return faults;
    }
}
