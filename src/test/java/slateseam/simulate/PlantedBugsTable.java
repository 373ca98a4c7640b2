package slateseam.simulate;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slateseam.simulate.Planted.Found;

/**
 * Looks for each planted bug and prints the table of the design note; takes some minutes, so it is not run with the
 * tests.
 */
final class PlantedBugsTable {
    private static final int MOST_SEEDS = 500;
    private static final Pattern SMALLEST = Pattern.compile("scenario: (.*); play it");

    private PlantedBugsTable() {}

    public static void main(String[] args) throws Exception {
        int threads = args.length > 0
                ? Integer.parseInt(args[0])
                : Runtime.getRuntime().availableProcessors();
        System.out.println("| planted bug | faults | seeds until found | rule | replayed alike | shrunk to |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        List<PlantedBug> bugs = PlantedBug.all();
        for (PlantedBug bug : bugs) {
            if (args.length > 1 && !bug.name().contains(args[1])) {
                continue;
            }
            Planted planted = new Planted(bug);
            Found found = planted.find(1, MOST_SEEDS, threads);
            String faults = bug.faults() == null ? "as drawn" : bug.faults();
            if (found == null) {
                System.out.println("| " + bug.name() + " | " + faults + " | not in " + MOST_SEEDS + " | | | |");
                continue;
            }
            String seed = Long.toString(found.seed());
            boolean alike = hash(planted.run("replay", seed).text())
                    .equals(hash(new Planted(bug).run("replay", seed).text()));
            Path file = Files.createTempFile("shrunk", ".scenario");
            Matcher smallest = SMALLEST.matcher(
                    planted.run("shrink", seed, "--out", file.toString()).text());
            String shrunk = smallest.find() ? smallest.group(1) : "not shrunk";
            boolean again = planted.run("run", "--scenario", file.toString()).status() == 1;
            Files.delete(file);
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %s | %s | `%s` | %s | %s%s |%n",
                    bug.name(),
                    faults,
                    seed,
                    found.rule(),
                    alike ? "yes" : "no",
                    shrunk,
                    again ? "" : " (plays otherwise)");
        }
    }

    /** The line with the hash of all happenings. */
    static String hash(String text) {
        return text.lines().filter(line -> line.startsWith("hash ")).findFirst().orElseThrow();
    }
}
