package slateseam.simulate;

import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Bugs planted in what the tier decides, and the days of {@code simulate tier} that find them; its main prints the table. */
final class TierBugs {
    private static final int AT_ONCE = 64;
    private static final int MOST_SEEDS = 4_096;
    private static final Pattern SEED = Pattern.compile("(?m)^seed (\\d+): ([A-Z_]+) ");
    private static final String TIER = "tier/members/";

    private TierBugs() {}

    static List<PlantedBug> all() {
        return List.of(
                bug(
                        "a refutation is ignored",
                        "Members",
                        "            refuteFor(sender, sender.incarnation);\n        } else if (sender.state == State.FAILED)",
                        "        } else if (sender.state == State.FAILED)"),
                bug(
                        "a suspicion of itself is not answered",
                        "SelfState",
                        "                setIdentity(life, anIncarnation + 1);\n",
                        ""),
                bug(
                        "a pause is not noticed",
                        "LocalHealth",
                        "if (gap > PAUSE_THRESHOLD_NANOS) {",
                        "if (gap > 1000 * PAUSE_THRESHOLD_NANOS) {"),
                bug(
                        "an old life is believed",
                        "Members",
                        "        if (message.life() < sender.life) {\n            count(Traffic.DROPPED_LATE, 1);\n"
                                + "            handleEarlierLife(sender, message, from);\n            return false;\n        }\n",
                        ""),
                bug(
                        "a suspicion never ends",
                        "Watch",
                        "member.state == State.SUSPECT && now >= member.suspectUntil",
                        "false"),
                bug(
                        "a cut is taken for a death",
                        "Watch",
                        "            if (each.getValue().ear() == Ear.HEARS) {\n                return false;\n            }\n",
                        ""),
                bug("one who doubts declares failed", "Watch", "member.state == State.SUSPECT && doubts", "false"),
                bug(
                        "the smaller part does not know it",
                        "LocalHealth",
                        "silentFraction > MINORITY_THRESHOLD || !majority",
                        "false"),
                bug(
                        "one that left comes back in the same life",
                        "Member",
                        "return state != State.LEFT; // nobody",
                        "return anIncarnation >= incarnation; // nobody"),
                bug(
                        "views are not compared",
                        "Members",
                        "    private void compare(Member with) {\n        if (with != null) {",
                        "    private void compare(Member with) {\n        if (false) {"),
                bug(
                        "a later life by its own name is not noticed",
                        "SelfState",
                        "            lifeRaised = true;\n            startLaterLife(ofLife + 1);",
                        "            lifeRaised = true;"),
                bug(
                        "whoever watches anew accuses for the time before",
                        "Watch",
                        "member.watchedSince = subjects.contains(member) ? member.watchedSince : Math.max(member.watchedSince, lastCheckAt);",
                        ""),
                bug("nobody is told that it is unheard", "LocalHealth", "unheard = value;", ""),
                bug(
                        "an end is not believed",
                        "Members",
                        "        if (message.kind() == Message.Kind.LEAVE) {\n            sender.sequence = message.sequence();\n"
                                + "            message.records().forEach(record -> handleRecord(sender, record));",
                        "        if (message.kind() == Message.Kind.LEAVE) {\n            sender.sequence = message.sequence();"));
    }

    private static PlantedBug bug(String name, String file, String text, String instead) {
        return new PlantedBug(name, null, null, List.of(PlantedBug.change(TIER + file, text, instead)));
    }

    /** The first seed whose day breaks a rule, and the rule; null if none of so many does. */
    static Planted.Found find(PlantedBug bug, int mostSeeds) {
        return find("tier", bug, mostSeeds);
    }

    /** The same by another command. */
    static Planted.Found find(String command, PlantedBug bug, int mostSeeds) {
        Planted planted = new Planted(bug);
        for (int from = 1; from <= mostSeeds; from += AT_ONCE) {
            Matcher lines = SEED.matcher(planted.run(command, "--seeds", from + ".." + (from + AT_ONCE - 1))
                    .text());
            Planted.Found first = null;
            while (lines.find()) {
                long seed = Long.parseLong(lines.group(1));
                first = first == null || seed < first.seed() ? new Planted.Found(seed, lines.group(2)) : first;
            }
            if (first != null) {
                return first;
            }
        }
        return null;
    }

    public static void main(String[] args) {
        System.out.println("| planted bug | seeds until found | rule |");
        System.out.println("| --- | --- | --- |");
        for (PlantedBug bug : all()) {
            Planted.Found found = find(bug, MOST_SEEDS);
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %s | %s |%n",
                    bug.name(),
                    found == null ? "not in " + MOST_SEEDS : found.seed(),
                    found == null ? "" : "`" + found.rule() + "`");
        }
    }
}
