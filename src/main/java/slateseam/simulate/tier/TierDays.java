package slateseam.simulate.tier;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/** Plays days of faults of many seeds, as many at once as there are cores. */
public final class TierDays {
    private TierDays() {}

    /** The members' days: a line for each seed that breaks a rule; how many did. */
    public static long play(long from, long to, Consumer<String> lines) {
        return play(from, to, seed -> new MembersDay(seed).play(), lines);
    }

    /** The same of those who agree on a log. */
    public static long playAgreement(long from, long to, Consumer<String> lines) {
        return play(from, to, seed -> new AgreementDay(seed).play(), lines);
    }

    /** The same of those who share a policy. */
    public static long playPolicy(long from, long to, Consumer<String> lines) {
        return play(from, to, seed -> new PolicyDay(seed).play(), lines);
    }

    /** The same of those who share a budget over links. */
    public static long playSupply(long from, long to, Consumer<String> lines) {
        return play(from, to, seed -> new SupplyDay(seed).play(), lines);
    }

    private static long play(long from, long to, LongFunction<MembersDay.Broken> day, Consumer<String> lines) {
        AtomicLong broken = new AtomicLong();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            MembersDay.Broken found = day.apply(seed);
            if (found != null) {
                broken.incrementAndGet();
                synchronized (lines) {
                    lines.accept("seed " + seed + ": " + found.rule() + " " + found.text());
                }
            }
        });
        return broken.get();
    }
}
