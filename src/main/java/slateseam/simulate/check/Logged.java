package slateseam.simulate.check;

import java.util.Set;

/** Reads routers' logs. */
final class Logged {
    private static final Set<String> FAULTS = Set.of("overdue", "internal-error");

    private final Report report;
    private final Set<String> garbled;

    Logged(Report report, Set<String> garbled) {
        this.report = report;
        this.garbled = garbled;
    }

    void line(RouterState router, String line) {
        String[] parts = line.split(": ", 3);
        if (parts.length < 3) {
            return;
        }
        if (FAULTS.contains(parts[1])) {
            report.breach(Rule.LOGGED, router, "", line);
        } else if (parts[1].equals("user-agent-malformed")
                && !garbled.contains(router.name())
                && !parts[2].startsWith("the rest of")
                && !parts[2].startsWith("no room")) {
            report.breach(Rule.MISREAD, router, "", line);
        } else if (parts[1].equals("server-malformed")) {
            int at = parts[2].indexOf(": ");
            String dial = at < 0 ? "" : parts[2].substring(parts[2].indexOf('/') + 1, at);
            String what = at < 0 ? parts[2] : parts[2].substring(at + 2);
            if (!garbled.contains(router.name() + " " + dial)
                    && !what.startsWith("the rest of")
                    && !what.startsWith("no room")) {
                report.breach(Rule.MISREAD, router, "", line);
            }
        }
    }
}
