package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The faults of a day in the order of their beginnings; of one time, in the order of the kinds, then as they were
 * given.
 *
 * @param faults in order
 */
public record Timeline(List<Fault> faults) {
    private static final Comparator<Fault> ORDER =
            Comparator.comparingLong(Fault::at).thenComparing(Fault::kind);

    /** Sorts and copies the list. */
    public Timeline {
        faults = faults.stream().sorted(ORDER).toList();
    }

    /** The same with more faults. */
    public Timeline with(List<Fault> more) {
        List<Fault> all = new ArrayList<>(faults);
        all.addAll(more);
        return new Timeline(all);
    }

    /** When the last of them is over, in nanoseconds since the day's beginning; 0 if there are none. */
    public long end() {
        return faults.stream().mapToLong(Fault::until).max().orElse(0);
    }

    /** The faults of one kind, in order. */
    public List<Fault> of(FaultKind kind) {
        return faults.stream().filter(fault -> fault.kind() == kind).toList();
    }

    /** One line for each, as a scenario file writes it. */
    @Override
    public String toString() {
        return faults.stream().map(Fault::toString).collect(Collectors.joining("\n"));
    }
}
