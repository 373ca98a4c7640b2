package slateseam.simulate;

import java.util.ArrayList;
import java.util.List;
import slateseam.simulate.scenario.Fault;

/** The faults of a day that wait for a line of a router's log. */
public final class Cues {
    private final List<Fault.Cued> waiting = new ArrayList<>();

    /** Those of a day. */
    public Cues(List<Fault> faults) {
        faults.forEach(fault -> {
            if (fault instanceof Fault.Cued cued) {
                waiting.add(cued);
            }
        });
    }

    /** Whether none waits any more. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** A router's log has this line, at this time of the day: the faults that come so, each once. */
    public List<Fault> said(String router, String line, long at) {
        String[] parts = line.split(": ", 3);
        if (waiting.isEmpty() || parts.length < 2 || !parts[0].equals(router)) {
            return List.of();
        }
        List<Fault.Cued> come = waiting.stream()
                .filter(cued ->
                        cued.cue().router().equals(router) && cued.cue().word().equals(parts[1]))
                .toList();
        waiting.removeAll(come);
        return come.stream().map(cued -> cued.come(at)).toList();
    }
}
