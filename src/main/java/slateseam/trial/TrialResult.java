package slateseam.trial;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.ServiceByPhase;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.useragent.Outcomes.Ending;

/**
 * What a trial gave.
 *
 * @param stoodStillNanos for how long the rig itself stood still at the longest
 * @param folder where the logs lie
 */
record TrialResult(Day day, ServiceByPhase phases, List<Findings.Finding> findings, long stoodStillNanos, Path folder) {
    /** Whether its figures say something. */
    boolean isSpoilt() {
        return TrialPlay.isSpoilt(stoodStillNanos);
    }

    /** What the origin can do in calm, reads a second. */
    double originRate() {
        return day.origin().figures().places() / day.origin().figures().meanSeconds();
    }

    /** A row a phase, and what was found. */
    String text() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%7s %7s %7s %7s %7s %7s %7s %8s %7s  %-11s %7s  %s",
                "from s",
                "to s",
                "asked",
                "served%",
                "refus.%",
                "failed%",
                "lost%",
                "fetch/s",
                "turned",
                "supply",
                "largest",
                "faults"));
        for (ServiceByPhase.Phase phase : phases.all()) {
            double asked = Math.max(1, phase.asked());
            double seconds = (phase.until() - phase.from()) / 1e9;
            lines.add(String.format(
                    Locale.ROOT,
                    "%7.1f %7.1f %7d %7.1f %7.1f %7.1f %7.1f %8.1f %7d  %4.2f .. %4.2f %7.2f  %s",
                    phase.from() / 1e9,
                    phase.until() / 1e9,
                    phase.asked(),
                    100 * phase.servedPart(),
                    100 * phase.of(Ending.UNAVAILABLE) / asked,
                    100 * phase.of(Ending.FAILED) / asked,
                    100 * phase.lost() / asked,
                    phase.fetches() / Math.max(0.001, seconds),
                    phase.turnedAway(),
                    phase.leastSupply(),
                    phase.mostSupply(),
                    phase.largestPart(),
                    phase.faults().isEmpty() ? "none" : phase.faults()));
        }
        lines.add(String.format(Locale.ROOT, "the origin can do %.1f reads a second in calm", originRate()));
        for (Fault fault : phases.faults()) {
            int back = phases.backAfter(fault);
            lines.add("after " + fault.kind().word() + " " + String.join(" ", fault.targets()) + ": "
                    + (back < 0
                            ? "not like the first phase until the end"
                            : "like the first phase after " + back + " s"));
        }
        if (isSpoilt()) {
            lines.add(
                    String.format(Locale.ROOT, "spoilt: the rig itself stood still for %.2f s", stoodStillNanos / 1e9));
        }
        findings.forEach(finding -> lines.add("broken " + finding));
        return String.join("\n", lines);
    }

    JSONObject json() {
        JSONArray rows = new JSONArray();
        for (ServiceByPhase.Phase phase : phases.all()) {
            JSONObject row = new JSONObject()
                    .put("from_s", phase.from() / 1e9)
                    .put("to_s", phase.until() / 1e9)
                    .put("asked", phase.asked())
                    .put("served", phase.of(Ending.SERVED))
                    .put("refused", phase.of(Ending.UNAVAILABLE))
                    .put("failed", phase.of(Ending.FAILED))
                    .put("lost", phase.lost())
                    .put("fetches", phase.fetches())
                    .put("origin_turned_away", phase.turnedAway())
                    .put("faults", phase.faults());
            if (!Double.isNaN(phase.leastSupply())) {
                row.put("supply_least", phase.leastSupply())
                        .put("supply_most", phase.mostSupply())
                        .put("supply_largest_part", phase.largestPart());
            }
            rows.put(row);
        }
        JSONArray broken = new JSONArray();
        findings.forEach(finding -> broken.put(new JSONObject()
                .put("at_s", finding.at())
                .put("rule", finding.rule())
                .put("whom", finding.whom())
                .put("text", finding.text())));
        return new JSONObject()
                .put("seed", day.seed())
                .put("routers", day.routers().size())
                .put("phases", rows)
                .put("broken", broken)
                .put("stood_still_s", stoodStillNanos / 1e9)
                .put("spoilt", isSpoilt())
                .put("origin_per_s", originRate());
    }
}
