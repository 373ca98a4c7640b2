package slateseam.simulate;

import java.util.List;

/** Bugs planted in what those who agree on a log do, and the days of {@code simulate agreement} that find them; its main prints the table. */
final class AgreementBugs {
    private static final String AT = "tier/agreement/";

    private AgreementBugs() {}

    static List<PlantedBug> all() {
        return List.of(
                bug(
                        "one votes twice in a term",
                        "Raft",
                        "(stable.vote() == null || stable.vote().equals(from))",
                        "true"),
                new PlantedBug(
                        "a vote goes to one that lacks entries",
                        null,
                        null,
                        List.of(
                                PlantedBug.change(
                                        AT + "Raft",
                                        "boolean granted = r.head().term() == stable.term() && isUpToDate &&",
                                        "boolean granted = r.head().term() == stable.term() &&"),
                                PlantedBug.change(AT + "Raft", "!hasLeader() && isUpToDate;", "!hasLeader();"))),
                bug(
                        "a vote is not written down",
                        "Raft",
                        "            write(new DurableState.Term(stable.term(), from));",
                        ""),
                bug("answers do not wait for the disk", "Raft", "if (lastPersisted >= lastWritten) {", "if (true) {"),
                bug(
                        "what an earlier leader wrote counts as committed",
                        "Raft",
                        "if (matched <= commit || stable.termAt(matched) != stable.term()) {",
                        "if (matched <= commit) {"),
                bug(
                        "one fewer than a majority is enough",
                        "Leadership",
                        "return all.get(all.size() / 2);",
                        "return all.get(all.size() / 2 - (all.size() > 2 ? 1 : 0));"),
                bug(
                        "a log that differs is not cut",
                        "Raft",
                        "stable.termAt(index) == entry.term()) {",
                        "index <= stable.lastIndex()) {"),
                bug(
                        "entries are taken without the one before",
                        "Raft",
                        "before >= stable.snapshotIndex() && stable.termAt(before) != r.previousTerm()",
                        "false"),
                bug(
                        "commits go beyond what was compared",
                        "Raft",
                        "Math.min(r.commit(), index)",
                        "Math.min(r.commit(), stable.lastIndex())"),
                bug(
                        "one that cannot be sure of its memory votes",
                        "Raft",
                        "fromDisk && !others().isEmpty() ? Role.UNSURE : ",
                        ""),
                bug(
                        "a damaged memory is believed in part",
                        "../../simulate/tier/VirtualMemory",
                        "if (damaged || written.isEmpty()) {",
                        "if (damaged) { written.subList(written.size() / 2, written.size()).clear(); damaged = false; }\n        if (written.isEmpty()) {"),
                bug(
                        "who votes changes twice at once",
                        "Raft",
                        "stable.seatsIndex() > commit || differ.size() != 1",
                        "differ.size() != 1"),
                bug(
                        "a snapshot forgets who votes",
                        "Raft",
                        "write(new DurableState.Snapshot(r.index(), r.lastTerm(), r.seats(), state));",
                        "write(new DurableState.Snapshot(r.index(), r.lastTerm(), stable.snapshotSeats(), state));"));
    }

    private static PlantedBug bug(String name, String file, String text, String instead) {
        return new PlantedBug(
                name,
                null,
                null,
                List.of(PlantedBug.change(
                        file.startsWith("..") ? file.substring("../../".length()) : AT + file, text, instead)));
    }

    public static void main(String[] args) {
        for (PlantedBug bug : all()) {
            Planted.Found found = TierBugs.find("agreement", bug, args.length > 0 ? Integer.parseInt(args[0]) : 4_096);
            System.out.println("| " + bug.name() + " | "
                    + (found == null ? "not found |" : found.seed() + " | `" + found.rule() + "` |"));
        }
    }
}
