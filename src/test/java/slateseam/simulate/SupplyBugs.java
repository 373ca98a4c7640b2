package slateseam.simulate;

import java.util.List;

/** Bugs planted in how supply is exchanged over links, and the days of {@code simulate supply} that find them. */
final class SupplyBugs {
    private static final String AT = "decision/";

    private SupplyBugs() {}

    static List<PlantedBug> all() {
        return List.of(
                bug(
                        "a transfer is counted again with each message that tells it",
                        "Ledger",
                        "            own.units += moved;\n            flow[a] += moved;\n",
                        "            own.units += moved;\n"),
                bug(
                        "a lost acknowledgement gives the supply back",
                        "Ledger",
                        "m.acknowledged() == lastSent) {",
                        "true) {"),
                bug(
                        "what is asked back is used before it is given",
                        "Ledger",
                        "-= Math.max(0, moved);\n    }",
                        "-= moved;\n    }"),
                bug(
                        "a restart forgets what its partners' books say",
                        "Ledger",
                        "            accounts.get(a).units += lower ? -peerFlow[a] : peerFlow[a];\n",
                        ""),
                bug(
                        "a restart behind a cut uses an even share",
                        "EarlierSupply",
                        "hasPartners ? -knownUnits[a] : 0;",
                        "0;"),
                bug(
                        "a message of an earlier life is believed",
                        "Ledger",
                        "return isFromNewRun(m) || m.senderRun() == peerRunNumber && m.sequence() - lastReceived > 0;",
                        "return true;"));
    }

    private static PlantedBug bug(String name, String file, String text, String instead) {
        return new PlantedBug(name, null, null, List.of(PlantedBug.change(AT + file, text, instead)));
    }

    /** Prints the first seed that finds each. */
    public static void main(String[] args) {
        for (PlantedBug bug : all()) {
            Planted.Found found = TierBugs.find("supply", bug, 1_024);
            System.out.println("| " + bug.name() + " | "
                    + (found == null ? "not in 1024 | |" : found.seed() + " | `" + found.rule() + "` |"));
        }
    }
}
