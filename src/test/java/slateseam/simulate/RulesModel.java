package slateseam.simulate;

import java.util.ArrayList;
import java.util.List;

/**
 * The brief's rules and one term of the operators, as plainly as they can be written: lists that are looked through from
 * their beginning, no tables, nothing of the program's own. It is told what is seen from outside a router, at the user
 * agents' side and where requests reach servers, and says which rule that breaks.
 */
final class RulesModel {
    private static final long MILLI = 1_000_000L;

    /** What a second run of a request does. */
    enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** How a request was answered. */
    enum Answered {
        NOT_YET,
        SERVED,
        UNAVAILABLE,
        FAILED,
        LEFT
    }

    /** How an attempt went, as the protocol page tells outcomes apart. */
    enum Went {
        OUT,
        SERVED,
        MISSED,
        TURNED_AWAY,
        MAY_HAVE_RUN,
        NOT_WHOLE
    }

    /** One attempt, as the server sees it. */
    static final class Attempt {
        final String server;
        final long sentAt;
        Went went = Went.OUT;
        /** When the router can have learned how it went; where it gave up itself, when it did. */
        long knownAt;
        /** Whether its connection carries it still. */
        boolean open = true;

        Attempt(String server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return went == Went.OUT || went == Went.SERVED || went == Went.MAY_HAVE_RUN;
        }
    }

    /** One request that a router has taken. */
    static final class Taken {
        final int router;
        final String id;
        final Effect effect;
        final long at;
        final long deadline;
        final long window;
        final int attemptsAllowed;
        final boolean tellsWhen;
        final List<Attempt> attempts = new ArrayList<>();
        Answered answered = Answered.NOT_YET;
        long answeredAt;

        Taken(
                int router,
                String id,
                Effect effect,
                long at,
                long ttl,
                long window,
                int attemptsAllowed,
                boolean tellsWhen) {
            this.router = router;
            this.id = id;
            this.effect = effect;
            this.at = at;
            this.deadline = at + ttl;
            this.window = window;
            this.attemptsAllowed = attemptsAllowed;
            this.tellsWhen = tellsWhen;
        }
    }

    /** That a router was told to send a server nothing new. */
    private record ToldOff(int router, String server, long at) {}

    /** A server that has just started, and what it was sent since. */
    private static final class Cold {
        final String server;
        final long since;
        final List<Long> sent = new ArrayList<>();

        Cold(String server, long since) {
            this.server = server;
            this.since = since;
        }
    }

    private final long graceNanos;
    private final long slackNanos;
    /** The way between a router and a server. */
    private final long wayNanos;
    /** Time to notice: a router looks after its requests this often. */
    private final long noticeNanos;

    private final double coldFrom;
    private final long coldNanos;
    private final long windowNanos;
    private final double perSecond;
    private final List<Taken> taken = new ArrayList<>();
    private final List<ToldOff> toldOff = new ArrayList<>();
    private final List<Cold> cold = new ArrayList<>();
    private String breach;

    /**
     * Creates it.
     *
     * @param perSecond what a warm server does in a second
     */
    RulesModel(
            long graceNanos,
            long slackNanos,
            long wayNanos,
            long noticeNanos,
            double coldFrom,
            long coldNanos,
            long windowNanos,
            double perSecond) {
        this.graceNanos = graceNanos;
        this.slackNanos = slackNanos;
        this.wayNanos = wayNanos;
        this.noticeNanos = noticeNanos;
        this.coldFrom = coldFrom;
        this.coldNanos = coldNanos;
        this.windowNanos = windowNanos;
        this.perSecond = perSecond;
    }

    /** The first rule that was broken, and how; null while all are kept. */
    String breach() {
        return breach;
    }

    private void breaks(String rule, Taken request, String how) {
        if (breach == null) {
            breach = rule + " " + (request == null ? "" : request.effect + " " + request.id + ": ") + how;
        }
    }

    private Taken find(String id) {
        for (Taken request : taken) {
            if (request.id.equals(id)) {
                return request;
            }
        }
        return null;
    }

    /** A router has taken a request. */
    void takes(Taken request) {
        taken.add(request);
    }

    /** How many attempts of a request came to servers. */
    int attempts(String id) {
        return find(id).attempts.size();
    }

    /** The server of an attempt. */
    String server(String id, int attempt) {
        return find(id).attempts.get(attempt).server;
    }

    /** A router has answered; {@code again} is the time to come back that an unavailable answer tells. */
    void answers(String id, Answered how, String value, long again, long now) {
        Taken request = find(id);
        if (request == null) {
            breaks("FOREIGN", null, "an answer to " + id + ", which was never taken");
            return;
        }
        if (request.answered != Answered.NOT_YET) {
            breaks("ANSWERED_TWICE", request, "after " + request.answered + " also " + how);
        }
        request.answered = how;
        request.answeredAt = now;
        boolean made = request.attempts.stream()
                .anyMatch(a -> a.went == Went.SERVED && value(id).equals(value));
        if (how == Answered.SERVED && !made) {
            breaks("FOREIGN", request, "served with " + value);
        }
        if (how == Answered.UNAVAILABLE) {
            refused(request);
            if (request.tellsWhen && again <= 0) {
                breaks("NO_TIME", request, "an unavailable answer that does not say when to come back");
            }
        }
        if (now > request.deadline + slackNanos) {
            breaks("LATE", request, "answered " + (now - request.deadline) / MILLI + " ms behind its time");
        }
    }

    private void refused(Taken request) {
        for (Attempt attempt : request.attempts) {
            if (request.effect == Effect.ONCE && attempt.mayHaveRun()) {
                breaks("REFUSAL", request, "unavailable, though an attempt at " + attempt.server + " may have run");
            }
        }
    }

    /** The value that is made for a request alone. */
    static String value(String id) {
        return "v-" + id;
    }

    /** The user agent has left: nothing is owed, and nothing may be begun. */
    void leaves(String id, long now) {
        Taken request = find(id);
        if (request.answered == Answered.NOT_YET) {
            request.answered = Answered.LEFT;
            request.answeredAt = now;
        }
    }

    /** A router was killed: it owes nothing any more, and has been told nothing. */
    void dies(int router, long now) {
        for (Taken request : taken) {
            if (request.router == router) {
                leaves(request.id, now);
            }
        }
        toldOff.removeIf(told -> told.router == router);
    }

    /** An attempt has come whole to a server. */
    Attempt comes(String id, String server, long now) {
        long sentAt = now - wayNanos;
        Attempt attempt = new Attempt(server, sentAt);
        for (Cold one : cold) {
            if (one.server.equals(server)) {
                one.sent.add(now);
                withinCold(one, now);
            }
        }
        Taken request = find(id);
        if (request == null) {
            breaks("FOREIGN", null, server + " was sent " + id + ", which was never taken");
            return attempt;
        }
        for (Attempt before : request.attempts) {
            if (before.open) {
                breaks("TWO_AT_ONCE", request, "at " + before.server + " and " + server);
            }
            if (request.effect == Effect.ONCE && before.mayHaveRun()) {
                breaks("RESEND", request, "to " + server + ", though it may have run at " + before.server);
            }
            if (request.effect == Effect.KEYED && before.mayHaveRun() && sentAt - before.sentAt > request.window) {
                breaks("RESEND", request, "to " + server + ", behind the window of the attempt at " + before.server);
            }
        }
        request.attempts.add(attempt);
        if (request.attempts.size() > request.attemptsAllowed) {
            breaks("ATTEMPTS", request, request.attempts.size() + " of " + request.attemptsAllowed);
        }
        if (request.answered != Answered.NOT_YET && sentAt > request.answeredAt) {
            breaks("AFTER_ANSWER", request, "to " + server + " after " + request.answered);
        }
        if (request.answered == Answered.UNAVAILABLE && request.effect == Effect.ONCE) {
            breaks("REFUSAL", request, "unavailable while it was on its way to " + server);
        }
        for (ToldOff told : toldOff) {
            if (told.router == request.router && told.server.equals(server) && sentAt - told.at > graceNanos) {
                breaks(
                        "DRAIN",
                        request,
                        "to " + server + " " + (sentAt - told.at) / MILLI + " ms after it was told off");
            }
        }
        return attempt;
    }

    /** A router was told of a server. */
    void tells(int router, String server, boolean wantsNew, long now) {
        boolean known = toldOff.stream().anyMatch(told -> told.router == router && told.server.equals(server));
        if (wantsNew) {
            toldOff.removeIf(told -> told.router == router && told.server.equals(server));
        } else if (!known) {
            toldOff.add(new ToldOff(router, server, now));
        }
    }

    /** A server starts cold. */
    void starts(String server, long now) {
        cold.removeIf(one -> one.server.equals(server));
        cold.add(new Cold(server, now));
    }

    /** What all routers together sent in any window must stay below what pushes it over, with a little slack. */
    private void withinCold(Cold one, long now) {
        double overload = overload();
        if (now - one.since > coldNanos) {
            return;
        }
        int inWindow = 0;
        for (long at : one.sent) {
            if (at > now - windowNanos) {
                inWindow++;
            }
        }
        double age = Math.max(0, now - one.since - windowNanos / 2.0) / coldNanos;
        double most = overload * perSecond * (coldFrom + (1 - coldFrom) * age) * windowNanos / 1e9;
        if (inWindow > most + 3 * Math.sqrt(most)) {
            breaks(
                    "FALLEN",
                    null,
                    one.server + " was sent " + inWindow + " in " + windowNanos / MILLI + " ms at an age of "
                            + (now - one.since) / MILLI + " ms, where " + (int) most + " push it over");
        }
    }

    private double overload = 3;

    private double overload() {
        return overload;
    }

    /** So many times its capacity pushes a cold server over. */
    void overload(double times) {
        overload = times;
    }

    /** After each step: nothing is owed beyond its time, and what can only be given up has been. */
    void step(long now) {
        for (Taken request : taken) {
            if (request.answered == Answered.NOT_YET) {
                if (now > request.deadline + slackNanos) {
                    breaks("LATE", request, "no answer " + (now - request.deadline) / MILLI + " ms behind its time");
                }
                givenUp(request, now);
            }
        }
        taken.removeIf(request -> now > request.deadline + 5_000 * MILLI);
    }

    /** Guards against requests that are kept waiting so that their user agents stay quiet. */
    private void givenUp(Taken request, long now) {
        if (request.attempts.isEmpty()) {
            return;
        }
        Attempt last = request.attempts.get(request.attempts.size() - 1);
        if (last.went == Went.OUT || now - last.knownAt <= noticeNanos) {
            return;
        }
        boolean spent = request.attempts.size() >= request.attemptsAllowed;
        boolean ran = request.effect == Effect.ONCE && last.went == Went.MAY_HAVE_RUN;
        if (spent || ran) {
            breaks(
                    "KEPT",
                    request,
                    "waits though " + (spent ? "its attempts are spent" : "it may have run") + ", "
                            + (now - last.knownAt) / MILLI + " ms after the last attempt went " + last.went);
        }
    }
}
