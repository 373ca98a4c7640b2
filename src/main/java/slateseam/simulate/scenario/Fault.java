package slateseam.simulate.scenario;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Something that befalls the tier. Times are nanoseconds since the day's beginning. */
public sealed interface Fault {
    /** What it is. */
    FaultKind kind();

    /** When it begins. */
    long at();

    /** When it is over; the same as the beginning for what happens at once. */
    long until();

    /** The names of those whom it befalls, in order; empty for kinds that name nobody. */
    List<String> targets();

    /** Its size in the basic unit of the kind's measure (a part of one, nanoseconds, a factor); 0 where it has none. */
    double size();

    /** The same with other targets. */
    Fault with(List<String> others);

    /** Happens at once. */
    record Moment(FaultKind kind, long at, List<String> targets, double size) implements Fault {
        /** Copies the list and rounds the size. */
        public Moment {
            targets = List.copyOf(targets);
            size = rounded(size);
        }

        @Override
        public long until() {
            return at;
        }

        @Override
        public Fault with(List<String> others) {
            return new Moment(kind, at, others, size);
        }

        @Override
        public String toString() {
            return text(this);
        }
    }

    /** Lasts for a while. */
    record Spell(FaultKind kind, long at, long until, List<String> targets, double size) implements Fault {
        /** Copies the list and rounds the size. */
        public Spell {
            targets = List.copyOf(targets);
            size = rounded(size);
        }

        @Override
        public Fault with(List<String> others) {
            return new Spell(kind, at, until, others, size);
        }

        @Override
        public String toString() {
            return text(this);
        }
    }

    /** What a fault waits for: that a router's log says a line of this word. */
    record Cue(String router, String word) {}

    /** Happens, or begins, each day at most once, when its cue comes; its times count from then. */
    record Cued(Cue cue, Fault fault) implements Fault {
        @Override
        public FaultKind kind() {
            return fault.kind();
        }

        @Override
        public long at() {
            return 0;
        }

        @Override
        public long until() {
            return fault.until();
        }

        @Override
        public List<String> targets() {
            return fault.targets();
        }

        @Override
        public double size() {
            return fault.size();
        }

        @Override
        public Fault with(List<String> others) {
            return new Cued(cue, fault.with(others));
        }

        /** What it comes to when its cue comes at this time of the day. */
        public Fault come(long at) {
            return of(fault.kind(), at, at + fault.until(), fault.targets(), fault.size());
        }

        @Override
        public String toString() {
            return "when " + cue.router + " says " + cue.word + fault.toString().substring("at 0 ms".length());
        }
    }

    /** A fault of a kind: lasting or not, as the kind is. */
    static Fault of(FaultKind kind, long at, long until, List<String> targets, double size) {
        return kind.lasts() ? new Spell(kind, at, until, targets, size) : new Moment(kind, at, targets, size);
    }

    /** Nanoseconds to one, the rest to a billionth, so that 0.07 is the same whether it was drawn or written as 7 %. */
    private static double rounded(double size) {
        return size > 1e6 ? Math.rint(size) : Math.round(size * 1e9) / 1e9;
    }

    /** As a line of a scenario file, from which the same fault is read again. */
    private static String text(Fault fault) {
        FaultKind kind = fault.kind();
        return "at " + time(fault.at()) + " " + kind.word()
                + fault.targets().stream().map(target -> " " + target).collect(Collectors.joining())
                + (kind.size() == null ? "" : " size " + size(kind, fault.size()))
                + (kind.lasts() ? " for " + time(fault.until() - fault.at()) : "");
    }

    private static String time(long nanos) {
        return Value.Range.plain(nanos / Unit.MILLIS.scale()) + " ms";
    }

    private static String size(FaultKind kind, double size) {
        Unit unit = kind.size() == Unit.Measure.TIME
                ? Unit.MILLIS
                : Unit.of(kind.size()).get(0);
        // Rounded, so that 0.07 of something is shown as 7 %, not with the error of a binary fraction.
        String number = String.format(Locale.ROOT, "%.9f", size / unit.scale());
        String plain = new BigDecimal(number).stripTrailingZeros().toPlainString();
        return unit.word().isEmpty() ? plain : plain + " " + unit.word();
    }
}
