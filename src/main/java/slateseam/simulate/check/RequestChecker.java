package slateseam.simulate.check;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Judges what a router sends on and what it answers, request by request. */
final class RequestChecker {
    /** In which a router hears that a user agent has left. */
    private static final long LEFT_NANOS = 100_000_000L;
    /** By how much the time that an attempt tells may be more than what is left to the user agent. */
    private static final long TOLD_NANOS = 150_000_000L;

    private final Figures figures;
    private final Report report;
    private final ColdStarts coldStarts;
    private final DayCounts dayCounts;
    /** By id, all that servers made. */
    private final Map<String, List<byte[]>> made = new HashMap<>();
    /** By id, where a write that must not run twice has run. */
    private final Map<String, String> ranOnce = new HashMap<>();

    RequestChecker(Figures figures, Report report, ColdStarts coldStarts, DayCounts dayCounts) {
        this.figures = figures;
        this.report = report;
        this.coldStarts = coldStarts;
        this.dayCounts = dayCounts;
    }

    /** A server made these bytes for a request. */
    void made(String id, byte[] value) {
        made.computeIfAbsent(id, i -> new ArrayList<>(1)).add(value);
    }

    /** A write that must not run twice ran. */
    void ranOnce(String server, String id) {
        String before = ranOnce.put(id, server);
        if (before != null) {
            report.breach(Rule.DOUBLED, "", id, "it ran at " + before + " and again at " + server);
        }
    }

    /** The answer of a request is overdue. */
    void late(Asked asked, String what) {
        asked.late = true;
        dayCounts.unanswered(asked);
        report.breach(
                Rule.LATE,
                asked.wire.router,
                asked.id,
                what + " " + (report.now() - asked.writtenAt) / 1_000_000
                        + " ms after the request, which had " + asked.waitNanos / 1_000_000 + " ms"
                        + (asked.read ? "" : "; it was never read")
                        + (asked.wire.router.ending ? "; in a planned end" : ""));
    }

    /** An attempt was written whole. */
    void attempt(RouterState router, Passed passed, Attempt attempt, long firstAt) {
        String id = passed.id();
        String dial = attempt.wire.dial;
        Asked asked = attempt.asked;
        dayCounts.attempt(router);
        coldStarts.sent(router, dial, asked == null ? 1 : asked.figures.weight(), report.now());
        long closed = router.told.closedFor(dial, firstAt);
        if (closed > figures.graceNanos() + Figures.SOCKETS_NANOS) {
            report.breach(
                    Rule.DRAIN,
                    router,
                    id,
                    "sent to " + dial + " " + closed / 1_000_000
                            + " ms after the router was told that it drains or is gone");
        }
        if (asked == null) {
            report.breach(
                    Rule.AFTER_ANSWER, router, id, "sent to " + dial + ", but the router never took such a request");
            return;
        }
        if (asked.state == Asked.State.ANSWERED) {
            report.breach(
                    Rule.AFTER_ANSWER,
                    router,
                    id,
                    "sent to " + dial + " " + (report.now() - asked.endedAt) / 1_000 + " us after the final answer");
        }
        if (asked.leftAt != 0 && firstAt - asked.leftAt > LEFT_NANOS && asked.wire.isUndisturbed(asked.leftAt)) {
            report.breach(
                    Rule.AFTER_ANSWER,
                    router,
                    id,
                    "sent to " + dial + " " + (firstAt - asked.leftAt) / 1_000_000
                            + " ms after its user agent had left");
        }
        if (!passed.isSame(asked.asked)) {
            report.breach(Rule.CHANGED, router, id, "sent to " + dial + " as " + passed + ", came as " + asked.asked);
        }
        timeTold(router, asked, passed, attempt, firstAt);
        resent(router, asked, attempt);
        asked.attempts.add(attempt);
    }

    /**
     * What an attempt tells is held against the time at which its first bytes were taken: what is handed to the system cannot be
     * changed any more, however late the rest is taken.
     */
    private void timeTold(RouterState router, Asked asked, Passed passed, Attempt attempt, long firstAt) {
        long left = asked.waitNanos - asked.wire.waited(asked, firstAt);
        long told = passed.waitMillis();
        if (asked.isOpen() && (told < 0 || told * 1_000_000 > left + TOLD_NANOS)) {
            report.breach(
                    Rule.TIME_TOLD,
                    router,
                    asked.id,
                    "attempt " + (asked.attempts.size() + 1) + ", to " + attempt.wire.dial + ", tells " + told
                            + " ms, while " + left / 1_000_000 + " of " + asked.waitNanos / 1_000_000 + " ms are left");
        }
    }

    private void resent(RouterState router, Asked asked, Attempt attempt) {
        long firstThatMayHaveRun = Long.MAX_VALUE;
        for (Attempt earlier : asked.attempts) {
            if (earlier.isOut()) {
                report.breach(
                        Rule.TWO_AT_ONCE,
                        router,
                        asked.id,
                        "sent to " + attempt.wire.dial + " while "
                                + earlier.wire.dial + " has had it for " + (report.now() - earlier.wholeAt) / 1_000_000
                                + " ms");
            }
            if (earlier.outcome == Attempt.Outcome.MAYBE) {
                firstThatMayHaveRun = Math.min(firstThatMayHaveRun, earlier.wholeAt);
            }
        }
        if (firstThatMayHaveRun == Long.MAX_VALUE) {
            return;
        }
        long since = report.now() - firstThatMayHaveRun;
        boolean permitted = switch (asked.figures.repeats()) {
            case HARMLESS -> true;
            case KEYED -> since <= asked.figures.windowNanos() + Figures.SOCKETS_NANOS;
            case FORBIDDEN -> false;
        };
        if (!permitted) {
            report.breach(
                    Rule.RESEND,
                    router,
                    asked.id,
                    "a " + asked.figures.name() + " was sent again to " + attempt.wire.dial + " " + since / 1_000_000
                            + " ms after a first time that may have run");
        }
    }

    /** An attempt came to its server whole. */
    void came(RouterState router, Attempt attempt) {
        Asked asked = attempt.asked;
        if (++asked.came > figures.attempts() && !router.dead) {
            report.breach(Rule.ATTEMPTS, router, asked.id, "attempt " + asked.came + " came to " + attempt.wire.dial);
        }
    }

    /** The whole final answer of an open request was written. */
    void finalAnswer(Asked asked, Resp answer) {
        RouterState router = asked.wire.router;
        boolean excused = asked.wire.isHeldUp() || report.now() <= router.standsUntil;
        if (!excused && report.now() > asked.wire.timeUp(asked)) {
            dayCounts.unanswered(asked);
        }
        if (!excused && report.now() > asked.wire.due(asked) && !asked.late) {
            late(asked, "the answer came");
        }
        byte[] value = value(answer);
        if (value != null) {
            List<byte[]> whole = made.getOrDefault(asked.id, List.of());
            if (whole.stream().noneMatch(one -> Arrays.equals(one, value))) {
                report.breach(
                        Rule.FOREIGN,
                        router,
                        asked.id,
                        "served with " + value.length + " bytes, while "
                                + (whole.isEmpty() ? "no server made any" : "servers made others")
                                + " for this request");
            }
        } else if (answer.type() == '-' && answer.text().startsWith("BUSY")) {
            refused(router, asked);
        }
        if (value == null && asked.attempts.isEmpty()) {
            dayCounts.turnedAway(router);
        }
        router.end(asked, Asked.State.ANSWERED, report.now());
    }

    /** The value that an answer serves; null where it serves none. */
    private static byte[] value(Resp answer) {
        if (answer.type() == '$') {
            return answer.bytes();
        }
        return answer.type() == '*' && !answer.items().isEmpty()
                ? answer.items().get(0).bytes()
                : null;
    }

    private void refused(RouterState router, Asked asked) {
        for (Attempt earlier : asked.attempts) {
            if (asked.figures.repeats() == Figures.Repeats.FORBIDDEN && earlier.outcome == Attempt.Outcome.MAYBE) {
                report.breach(
                        Rule.REFUSAL,
                        router,
                        asked.id,
                        "an unavailable answer to a " + asked.figures.name()
                                + " that was sent to " + earlier.wire.dial + " "
                                + (report.now() - earlier.wholeAt) / 1_000_000
                                + " ms before and may have run");
                return;
            }
        }
    }
}
