package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects what is wrong with a file. At most 200 faults are kept, so that a file of rubbish is told in bounds. */
final class Complaints {
    private static final int MOST = 200;
    private static final int LONGEST = 400;

    private record Complaint(int line, String text) {}

    private final String file;
    private final List<Complaint> all = new ArrayList<>();
    private int more;

    Complaints(String file) {
        this.file = file;
    }

    void add(int line, String text) {
        if (all.size() < MOST) {
            String plain = text.replaceAll("\\p{Cntrl}", "?");
            all.add(new Complaint(line, plain.length() > LONGEST ? plain.substring(0, LONGEST) + "..." : plain));
        } else {
            more++;
        }
    }

    void throwIfAny() throws InvalidScenarioException {
        if (!all.isEmpty()) {
            List<String> lines = new ArrayList<>(all.stream()
                    .sorted(Comparator.comparingInt(Complaint::line))
                    .map(c -> file + ":" + c.line + ": " + c.text)
                    .toList());
            if (more > 0) {
                lines.add(file + ":" + all.get(MOST - 1).line + ": there are " + more + " further faults");
            }
            throw new InvalidScenarioException(lines);
        }
    }
}
