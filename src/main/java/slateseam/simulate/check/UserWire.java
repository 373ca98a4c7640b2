package slateseam.simulate.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A connection of a user agent to a router. */
final class UserWire {
    /** For how long what was written must lie unread until the user agent counts as one that does not read. */
    private static final long UNREAD_NANOS = 500_000_000L;
    /** A router reads so much ahead of what it has begun, and so sees an end behind that. */
    private static final long SEEN_BYTES = 256 * 1024;

    private static final String PROTOCOL_ERROR = "ERR protocol error";

    /** A whole command; the request is null if it is none, or one that the router must turn down. */
    private record Command(Asked asked, long end) {}

    final RouterState router;
    /** The user agent's. */
    private final String machine;

    private final Checker checker;
    private final Report report;
    private final Pieces in = new Pieces();
    private final Pieces out = new Pieces();
    private final Deque<Command> pending = new ArrayDeque<>();
    private final long upAt;
    private long lastAnswerAt;
    private long readTo;
    private long sent;
    private long delivered;
    private long undeliveredSince;
    private boolean heldUp;
    /** The user agent's bytes make no sense from some place on, or the router said so where it may. */
    private boolean garbled;

    private boolean over;

    UserWire(RouterState router, String machine, Checker checker, Report report) {
        this.router = router;
        this.machine = machine;
        this.checker = checker;
        this.report = report;
        this.upAt = report.now();
    }

    /** The user agent's system took bytes. */
    void written(byte[] bytes) {
        if (over || garbled) {
            return;
        }
        in.add(bytes, report.now());
        try {
            for (long from = in.consumed(); ; from = in.consumed()) {
                Resp value = Resp.read(in);
                if (value == null) {
                    return;
                }
                List<String> words = value.command();
                if (words == null) {
                    throw new Garbled("no command");
                }
                Command command = new Command(asked(words, value, in.consumed() - from), in.consumed());
                pending.add(command);
                if (pending.size() == 1) {
                    headChanged();
                }
            }
        } catch (Garbled e) {
            garbled = true;
            checker.userAgentGarbled(router);
        }
    }

    private Asked asked(List<String> words, Resp value, long bytes) {
        boolean write = words.get(0).equalsIgnoreCase("CACHE.SET");
        if (!write && !words.get(0).equalsIgnoreCase("CACHE.GET") || words.size() != (write ? 5 : 4)) {
            return null;
        }
        String facts = words.get(3);
        String type = fact(facts, 'c');
        Figures.ClassFigures figures = type == null ? null : checker.figures().named(type);
        String wait = fact(facts, 'd');
        if (figures == null
                || wait == null
                || !wait.matches("[0-9]{1,9}")
                || !visible(words.get(1))
                || !visible(words.get(2))
                || !visible(facts)) {
            return null;
        }
        Passed passed = new Passed(
                words.get(2), words.get(1), facts, write ? value.items().get(4).bytes() : null);
        return new Asked(
                passed,
                figures,
                Math.min(Long.parseLong(wait) * 1_000_000L, figures.deadlineNanos()),
                report.now(),
                in.consumed(),
                bytes,
                this);
    }

    private static boolean visible(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static String fact(String facts, char name) {
        for (String fact : facts.split(",")) {
            if (fact.length() >= 2 && fact.charAt(0) == name && fact.charAt(1) == '=') {
                return fact.substring(2);
            }
        }
        return null;
    }

    /** The router took bytes from its system. */
    void read(int count) {
        readTo += count;
        for (Command command : pending) {
            if (command.end > readTo) {
                return;
            }
            if (command.asked != null && !command.asked.read) {
                router.read(command.asked, report.now());
                checker.dayCounts().request();
            }
        }
    }

    /** When the answer of a request must be there, as things stand; not known while others are ahead of it. */
    long due(Asked asked) {
        return timeUp(asked) + checker.figures().slackNanos() + Figures.SOCKETS_NANOS;
    }

    /** When its user agent has waited for as long as it said, as things stand. */
    long timeUp(Asked asked) {
        return begins(asked) + asked.waitNanos;
    }

    /** How much of a request's time has passed at a time; none while answers ahead of it are waited for. */
    long waited(Asked asked, long at) {
        return isHead(asked) ? Math.max(0, at - begins(asked)) : 0;
    }

    /** Since when the time of a request counts that is first in order. */
    private long begins(Asked asked) {
        long base = asked.read && !isUndisturbed(asked.writtenAt) ? asked.readAt : Math.max(asked.writtenAt, upAt);
        return Math.max(base, lastAnswerAt);
    }

    /** Whether nothing kept what the user agent wrote since a time from coming over. */
    boolean isUndisturbed(long since) {
        return checker.isUndisturbed(machine, router.place.machine(), since);
    }

    boolean isHead(Asked asked) {
        return !pending.isEmpty() && pending.peek().asked == asked;
    }

    /** Whether the answer that is being written comes behind others that the user agent has not taken. */
    boolean isHeldUp() {
        return heldUp;
    }

    /** Whether the user agent does not take what was written to it. */
    boolean isUnread() {
        return sent > delivered;
    }

    private boolean isStuck() {
        return sent > delivered && report.now() - undeliveredSince >= UNREAD_NANOS;
    }

    private void headChanged() {
        Command head = pending.peek();
        if (head != null && head.asked != null && head.asked.isOpen()) {
            checker.watch(head.asked, due(head.asked));
        }
    }

    /** The router's system took bytes of answers. */
    void answered(byte[] bytes) {
        heldUp = isUnread();
        if (!heldUp) {
            undeliveredSince = report.now();
        }
        sent += bytes.length;
        if (over || router.dead) {
            return;
        }
        out.add(bytes, report.now());
        try {
            for (Resp value; (value = Resp.read(out)) != null; ) {
                answer(value);
            }
        } catch (Garbled e) {
            report.breach(Rule.GARBLED, router, headId(), "the answer cannot be read: " + e.getMessage());
            out.clear();
        }
    }

    private String headId() {
        return pending.isEmpty() || pending.peek().asked == null ? "" : pending.peek().asked.id;
    }

    private void answer(Resp value) {
        boolean protocolError = value.type() == '-' && value.text().startsWith(PROTOCOL_ERROR);
        if (protocolError && isBroken()) {
            garbled = true;
            finish();
            return;
        }
        Command command = pending.poll();
        if (command == null) {
            report.breach(Rule.GARBLED, router, "", "an answer to nothing: " + shown(value));
            return;
        }
        Asked asked = command.asked;
        if (protocolError) {
            report.breach(
                    Rule.MISREAD,
                    router,
                    asked == null ? "" : asked.id,
                    "a sound command was answered -" + value.text());
        }
        if (command.end > readTo) {
            report.breach(Rule.GARBLED, router, asked == null ? "" : asked.id, "answered before it was read");
        }
        if (asked != null && asked.isOpen()) {
            checker.requestChecker().finalAnswer(asked, value);
        }
        lastAnswerAt = report.now();
        headChanged();
    }

    /** Whether the command that the router reads next is none, or not whole. */
    private boolean isBroken() {
        return pending.isEmpty() ? garbled || in.size() > 0 : pending.peek().end > readTo;
    }

    private static String shown(Resp value) {
        return value.type() + (value.text().length() > 60 ? value.text().substring(0, 60) : value.text());
    }

    /** The user agent was handed bytes. */
    void taken(int count) {
        delivered += count;
        undeliveredSince = report.now();
    }

    /** The user agent has gone away: nothing is owed to it any more, though the router may not know yet. */
    void left() {
        boolean heard = in.consumed() + in.size() - readTo < SEEN_BYTES;
        for (Command command : pending) {
            if (heard && command.asked != null && command.asked.isOpen()) {
                command.asked.leftAt = report.now();
            }
        }
        leave();
    }

    private void leave() {
        pending.forEach(command -> {
            if (command.asked != null) {
                router.end(command.asked, Asked.State.VOID, report.now());
            }
        });
    }

    private void finish() {
        leave();
        pending.clear();
        over = true;
    }

    /** The router has ended its sending, or broken the connection off. */
    void endedByRouter() {
        if (over) {
            return;
        }
        if (!router.dead && !garbled && !isStuck()) {
            for (Command command : pending) {
                // One that the router had not read is asked again by its user agent: the close crossed it.
                if (command.asked != null && command.asked.isOpen() && command.asked.read) {
                    report.breach(
                            Rule.LOST,
                            router,
                            command.asked.id,
                            "the router ended the connection "
                                    + (report.now() - command.asked.writtenAt) / 1_000_000 + " ms after the request, "
                                    + (router.ending ? "in a planned end, " : "") + "with no whole answer");
                }
            }
        }
        finish();
    }
}
