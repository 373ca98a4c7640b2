package slateseam.simulate.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/** A connection of a router to a server. */
final class PassWire {
    final RouterState router;
    final String dial;
    private final boolean http;
    private final Checker checker;
    private final Report report;
    private final Pieces out = new Pieces();
    private final Pieces in = new Pieces();
    private final Deque<Attempt> unanswered = new ArrayDeque<>();
    private final Deque<Attempt> onTheWay = new ArrayDeque<>();
    private long cameTo;
    private boolean garbledOut;
    private boolean routerOver;
    private boolean serverOver;

    PassWire(RouterState router, String dial, boolean http, Checker checker, Report report) {
        this.router = router;
        this.dial = dial;
        this.http = http;
        this.checker = checker;
        this.report = report;
    }

    /** Whether one of the two sides has ended or broken it. */
    boolean isOver() {
        return routerOver || serverOver;
    }

    /** The router's system took bytes. */
    void written(byte[] bytes) {
        if (garbledOut || router.dead) {
            return;
        }
        out.add(bytes, report.now());
        try {
            for (long firstAt = out.firstNanos(); ; firstAt = out.firstNanos()) {
                Passed passed = http ? httpRequest() : respRequest();
                if (passed == null) {
                    return;
                }
                Asked asked = passed.isProbe() ? null : router.attempted(passed.id());
                Attempt attempt = new Attempt(asked, this, report.now(), out.consumed());
                unanswered.add(attempt);
                onTheWay.add(attempt);
                if (!passed.isProbe()) {
                    checker.requestChecker().attempt(router, passed, attempt, firstAt);
                }
            }
        } catch (Garbled e) {
            garbledOut = true;
            report.breach(
                    Rule.SYNTAX, router, "", "what was written to " + dial + " cannot be read: " + e.getMessage());
        }
    }

    /** The next whole command; null while none is whole. */
    private Passed respRequest() throws Garbled {
        Resp value = Resp.read(out);
        if (value == null) {
            return null;
        }
        List<String> words = value.command();
        if (words == null) {
            throw new Garbled("no command");
        }
        String name = words.get(0).toUpperCase(Locale.ROOT);
        int size = name.equals("CACHE.GET") ? 4 : name.equals("CACHE.SET") ? 5 : words.size();
        if (words.size() != size) {
            throw new Garbled(name + " with " + words.size() + " words");
        }
        return !name.startsWith("CACHE.")
                ? Passed.PROBE
                : new Passed(
                        words.get(2),
                        words.get(1),
                        words.get(3),
                        size == 5 ? value.items().get(4).bytes() : null);
    }

    private Passed httpRequest() throws Garbled {
        Http request = Http.read(out);
        if (request == null) {
            return null;
        }
        String[] words = request.first().split(" ");
        if (words.length != 3 || !words[0].equals("GET") && !words[0].equals("PUT")) {
            throw new Garbled("no request line: " + request.first());
        }
        if (words[1].startsWith("/-/")) {
            return Passed.PROBE;
        }
        String id = request.headers().get("x-correlation-id");
        if (id == null) {
            throw new Garbled("a request without its id");
        }
        return new Passed(
                id,
                words[1].substring(1),
                request.headers().getOrDefault("x-facts", ""),
                words[0].equals("PUT") ? request.body() : null);
    }

    /** The server was handed bytes. */
    void came(int count) {
        cameTo += count;
        while (!onTheWay.isEmpty() && onTheWay.peek().end <= cameTo) {
            Attempt attempt = onTheWay.poll();
            if (attempt.asked != null) {
                checker.requestChecker().came(router, attempt);
            }
        }
    }

    /** The router was handed bytes of answers. */
    void answered(byte[] bytes) {
        if (isOver() && routerOver) {
            return;
        }
        router.heldBytes -= in.size();
        in.add(bytes, report.now());
        try {
            while (http ? httpAnswer() : respAnswer()) {
                // each is taken there
            }
            if (in.size() > 0 && unanswered.isEmpty()) {
                spoilt();
            }
        } catch (Garbled e) {
            spoilt();
            answeredBy(Attempt.Outcome.MAYBE, 0);
            in.clear();
        }
        router.heldBytes += in.size();
        checker.heldChanged(router);
    }

    private boolean respAnswer() throws Garbled {
        Resp value = Resp.read(in);
        if (value == null) {
            return false;
        }
        if (value.type() == '-' && value.text().startsWith("SYNTAX")) {
            report.breach(Rule.SYNTAX, router, headId(), dial + " answered -" + value.text());
        }
        boolean array = value.type() == '*'
                && !value.items().isEmpty()
                && value.items().get(0).type() == '$';
        boolean probe = !unanswered.isEmpty() && unanswered.peek().asked == null;
        if (!array && value.type() != '-' && !probe) {
            spoilt();
        }
        byte[] bytes = array ? value.items().get(0).bytes() : null;
        boolean never =
                array && bytes == null || value.type() == '-' && value.text().startsWith("BUSY");
        answeredBy(never ? Attempt.Outcome.NEVER : Attempt.Outcome.MAYBE, bytes == null ? 0 : bytes.length);
        return true;
    }

    private boolean httpAnswer() throws Garbled {
        Http reply = Http.read(in);
        if (reply == null) {
            return false;
        }
        int status = reply.status();
        if (status >= 100 && status < 200) {
            return true;
        }
        boolean chunked = reply.headers().containsKey("transfer-encoding");
        if (status == 0 || chunked == reply.headers().containsKey("content-length") && (chunked || status == 200)) {
            spoilt();
        }
        boolean never =
                (status == 503 || status == 504) && "1".equals(reply.headers().get("x-unprocessed"));
        answeredBy(never ? Attempt.Outcome.NEVER : Attempt.Outcome.MAYBE, status == 200 ? reply.body().length : 0);
        return true;
    }

    private String headId() {
        return unanswered.isEmpty() || unanswered.peek().asked == null ? "" : unanswered.peek().asked.id;
    }

    private void answeredBy(Attempt.Outcome outcome, int valueBytes) {
        Attempt attempt = unanswered.poll();
        if (attempt == null) {
            spoilt();
            return;
        }
        attempt.answered = true;
        attempt.outcome = outcome;
        if (attempt.asked != null && attempt.asked.isOpen()) {
            router.hold(attempt.asked, valueBytes);
        }
    }

    private void spoilt() {
        checker.serverGarbled(router, dial);
    }

    void endedByRouter() {
        if (!routerOver) {
            routerOver = true;
            router.heldBytes -= in.size();
            in.clear();
        }
    }

    void endedByServer() {
        serverOver = true;
    }
}
