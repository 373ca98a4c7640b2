package slateseam.simulate.tier;

import java.io.PrintStream;
import java.util.Locale;
import java.util.function.Consumer;
import slateseam.simulate.tier.MembersWorld.Ways;

/** Prints the figures of membership as rows of a table. */
public final class MembersCommand {
    /** Member-hours that are played for a figure of wrong accusations, at least. */
    private static final double HOURS = 100;

    private MembersCommand() {}

    /** Plays all figures for each of these numbers of members. */
    public static void run(int[] members, long from, long to, double hours, PrintStream out) {
        Consumer<String> row = out::println;
        double most = hours > 0 ? hours : HOURS;
        row.accept("| members | half knows s, 50 / 99% | 99% know s | all know s |");
        for (int n : members) {
            row.accept("| " + n + " | " + new MembersFigures(n, from, to).deaths(Ways.USUAL, n > 200 ? 1 : 10) + " |");
        }
        row.accept("| members | datagrams/s | bytes/s | a datagram | of a core |");
        for (int n : members) {
            row.accept("| " + n + " | " + new MembersFigures(n, from, to).load(Ways.USUAL) + " |");
        }
        row.accept("| members | one view after a cut of 20 s: median / most s |");
        for (int n : members) {
            row.accept("| " + n + " | " + new MembersFigures(n, from, to).healed() + " |");
        }
        row.accept("| members | ways | wrong suspicions | wrong failures, a member and hour |");
        for (int n : members) {
            long minutes = Math.max(1, Math.round(60 * most / n / (to - from + 1)));
            for (double loss : new double[] {0, 0.2, 0.4}) {
                row.accept(String.format(
                        Locale.ROOT,
                        "| %d | %.0f%% lost | %s |",
                        n,
                        100 * loss,
                        new MembersFigures(n, from, to).wrong(Ways.USUAL.losing(loss), 0, minutes)));
            }
            row.accept(String.format(
                    Locale.ROOT,
                    "| %d | a tenth paused | %s |",
                    n,
                    new MembersFigures(n, from, to).wrong(Ways.USUAL, 0.1, minutes)));
        }
    }
}
