package slateseam.simulate;

import java.util.List;

/** Bugs planted in how a policy is shared, and the days of {@code simulate policy} that find them; its main prints the table. */
final class PolicyBugs {
    private static final String AT = "tier/policy/";

    private PolicyBugs() {}

    static List<PlantedBug> all() {
        return List.of(
                bug(
                        "one that cannot know serves on",
                        AT + "Policy",
                        "nanos - knownAt <= settings.leaseNanos();\n        boolean holds",
                        "true;\n        boolean holds"),
                bug(
                        "ages are not added up",
                        AT + "Policy",
                        "stateLength, (int) age,",
                        "stateLength, (int) Math.min(0, age),"),
                bug(
                        "a leader tells what it cannot prove",
                        "tier/agreement/Raft",
                        "return role == Role.LEADER ? leadership.provenAt(seats) : -1;",
                        "return role == Role.LEADER ? now : -1;"),
                bug(
                        "a refusal is passed over",
                        AT + "PolicyCoordinator",
                        "if (verdicts.refuser() >= 0) {",
                        "if (false) {"),
                bug(
                        "a change does not wait for all",
                        AT + "PolicyCoordinator",
                        "} else if (majorityHasDocument && viewTrusted && verdicts.haveAllAccepted(alive)) {",
                        "} else if (majorityHasDocument && viewTrusted) {"),
                bug(
                        "one that was away serves what was before the last but one",
                        AT + "Policy",
                        "pending.put(one.number(), one.state() == Version.State.SETTLED ? now : UNKNOWN);",
                        ""),
                bug(
                        "one that knew nothing takes a version for new",
                        AT + "Policy",
                        "knownBefore == NEVER ? UNKNOWN : knownBefore + settings.holdNanos()",
                        "now + settings.holdNanos()"),
                bug(
                        "an aborted version holds",
                        AT + "Version",
                        "return state == State.COMMITTED ||",
                        "return state == State.ABORTED || state == State.COMMITTED ||"),
                bug(
                        "a late word of an old memory takes a seat away",
                        "tier/agreement/Admission",
                        "raft.isSilent(seat)\n                && ",
                        ""),
                bug(
                        "a state is taken for known before it is here",
                        AT + "Policy",
                        "            if (versions == null || versions.revision() != newer.reply.revision()) {\n                return;\n            }\n            learned = versions;",
                        "            if (versions != null) {\n                learned = versions;\n            }"),
                bug(
                        "a lost memory is written on",
                        "simulate/tier/PolicyWorld",
                        "            memory.empty();\n        }\n\n        @Override\n        public String check",
                        "        }\n\n        @Override\n        public String check"));
    }

    private static PlantedBug bug(String name, String file, String text, String instead) {
        return new PlantedBug(name, null, null, List.of(PlantedBug.change(file, text, instead)));
    }

    public static void main(String[] args) {
        for (PlantedBug bug : all()) {
            Planted.Found found = TierBugs.find("policy", bug, args.length > 0 ? Integer.parseInt(args[0]) : 2_048);
            System.out.println("| " + bug.name() + " | "
                    + (found == null ? "not found |" : found.seed() + " | `" + found.rule() + "` |"));
        }
    }
}
