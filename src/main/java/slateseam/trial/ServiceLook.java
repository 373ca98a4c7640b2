package slateseam.trial;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.useragent.Answer;
import slateseam.standin.useragent.Outcomes;
import slateseam.standin.useragent.Request;

/**
 * What each router does for those who ask it: requests that are left without an answer when their time is up, and routers that
 * turn away all that they get for a while. Both are terms of the platform's standing test, with its figures. Not thread-safe.
 */
final class ServiceLook implements Outcomes {
    private static final long SECOND = 1_000_000_000L;
    /** Of a router that turns away all that it gets. */
    private static final long IDLE_NANOS = 4 * SECOND;

    private static final int IDLE_REQUESTS = 15;
    /** One router in so many may do so. */
    private static final int IDLE_ROUTERS_PART = 10;
    /** One request in so many, and a few more, may be left without an answer. */
    private static final int UNANSWERED_PART = 500;

    private static final int UNANSWERED_MORE = 5;
    /** For what a router that was stopped or is new has to catch up with, and for what a fault left behind. */
    private static final long SETTLED_NANOS = 6 * SECOND;
    /** In these a router cannot answer. */
    private static final Set<FaultKind> OF_THE_PROCESS =
            EnumSet.of(FaultKind.ROUTER_KILL, FaultKind.PAUSE, FaultKind.STARVE, FaultKind.RESTART, FaultKind.UPGRADE);
    /** With these alone routers find servers that serve: days that are calm, or that roll. */
    private static final Set<FaultKind> ROLLING = EnumSet.of(
            FaultKind.RESTART,
            FaultKind.RELOAD,
            FaultKind.UPGRADE,
            FaultKind.DRAIN,
            FaultKind.REPLACE,
            FaultKind.DATAGRAM_LOSS,
            FaultKind.DATAGRAM_DOUBLE,
            FaultKind.DATAGRAM_SWAP);

    /** Refusals of one router in a row. */
    private static final class Spell {
        private final long since;
        private int requests;

        Spell(long since) {
            this.since = since;
        }
    }

    private final long begin;
    private final List<Fault> faults;
    /** Routers' names by where user agents meet them. */
    private final Map<String, String> names;
    /** To which router each open request was sent last. */
    private final Map<Request, String> sentTo = new HashMap<>();

    private final Map<String, Spell> spells = new HashMap<>();
    private final Map<String, Long> attempts = new HashMap<>();
    private final Map<String, Integer> unanswered = new TreeMap<>();
    private final Set<String> idle = new TreeSet<>();
    private long asked;

    /**
     * Begins to look.
     *
     * @param begin Unix time in nanoseconds, from which the faults' times count
     * @param faults of the day; the list may grow
     * @param names the routers' names by where user agents meet them
     */
    ServiceLook(long begin, List<Fault> faults, Map<String, String> names) {
        this.begin = begin;
        this.faults = faults;
        this.names = names;
    }

    @Override
    public void asked(Request request) {
        asked++;
    }

    @Override
    public void tried(Request request, String id, String router, long at, boolean again) {
        sentTo.put(request, names.get(router));
    }

    @Override
    public void answered(Request request, String id, Answer answer, long at) {
        String router = sentTo.get(request);
        if (router == null) {
            return; // it had ended for its user agent
        }
        if (answer.kind() != Answer.Kind.UNAVAILABLE || isUnsettled(at)) {
            spells.remove(router);
            return;
        }
        Spell spell = spells.computeIfAbsent(router, name -> new Spell(at));
        spell.requests++;
        if (spell.requests >= IDLE_REQUESTS && at - spell.since >= IDLE_NANOS) {
            idle.add(router);
        }
    }

    @Override
    public void ended(Request request, Ending ending, long at) {
        String router = sentTo.remove(request);
        if (ending == Ending.GIVEN_UP && router != null && !couldNotAnswer(router, request.asked(), at)) {
            unanswered.merge(router, 1, Integer::sum);
        }
    }

    /** A router says how many attempts it has made so far. */
    void attempts(String router, long made) {
        Long before = attempts.put(router, made);
        if (before == null || made != before) {
            spells.remove(router);
        }
    }

    /** Whether a fault by which servers cannot be reached lasts, or did until lately. */
    private boolean isUnsettled(long at) {
        return faults.stream()
                .filter(fault -> !ROLLING.contains(fault.kind()))
                .anyMatch(fault -> begin + fault.at() <= at && at <= begin + fault.until() + SETTLED_NANOS);
    }

    private boolean couldNotAnswer(String router, long from, long to) {
        return faults.stream()
                .filter(fault ->
                        OF_THE_PROCESS.contains(fault.kind()) && fault.targets().contains(router))
                .anyMatch(fault -> begin + fault.at() <= to && from <= begin + until(fault) + SETTLED_NANOS);
    }

    /** Restarts roll through their targets, one after another. */
    private static long until(Fault fault) {
        return fault.until()
                + (fault.kind() == FaultKind.RESTART
                        ? (long) fault.size() * fault.targets().size()
                        : 0);
    }

    /** Tells what broke a term, among so many routers. */
    void atTheEnd(int routers, Findings findings) {
        int sum = unanswered.values().stream().mapToInt(Integer::intValue).sum();
        if (sum > asked / UNANSWERED_PART + UNANSWERED_MORE) {
            findings.add(
                    "unanswered",
                    String.join(" ", unanswered.keySet()),
                    String.format(Locale.ROOT, "%d of %d requests had no answer when their time was up", sum, asked));
        }
        if (idle.size() > routers / IDLE_ROUTERS_PART) {
            idle.forEach(
                    router -> findings.add("idle", router, "it turned away all that it got for 4 s, with no attempt"));
        }
    }
}
