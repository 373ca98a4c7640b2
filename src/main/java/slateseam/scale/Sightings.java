package slateseam.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import slateseam.router.net.Clock;
import slateseam.tier.members.Change;

/** Who came to know of what, and when: deaths and changes of policy. Told by many threads. */
final class Sightings implements HollowRouter.Observer {
    private static final String FAILED = ": " + Change.Kind.FAILED.word() + ": name=";
    private static final String HOLDS = ": policy-holds: ";

    /** What is heard so long after a start may be of the life before. */
    private static final long LATE_NANOS = 4_000 * Clock.MILLI;

    private final Clock clock;
    /** When each that is down now was killed. */
    private final Map<String, Long> killedAt = new HashMap<>();
    /** When each was started again. */
    private final Map<String, Long> startedAt = new HashMap<>();
    /** Of the one event that is watched now: after how many nanoseconds each router knew. */
    private final Map<Integer, Long> known = new TreeMap<>();

    private String watchedDeath;
    private long watchedSince;
    private boolean watchesHold;
    private int wrongDeaths;

    Sightings(Clock clock) {
        this.clock = clock;
    }

    /** A router is killed now. */
    synchronized void killed(String name) {
        killedAt.put(name, clock.nanos());
    }

    /** It runs again, or is about to. */
    synchronized void started(String name) {
        killedAt.remove(name);
        startedAt.put(name, clock.nanos());
    }

    /** From now on it is noted who learns of this router's death, which is now. */
    synchronized void watchDeath(String name) {
        killed(name);
        watch(name, false);
    }

    /** From now on it is noted who runs by another version of the policy. */
    synchronized void watchHold() {
        watch(null, true);
    }

    private void watch(String death, boolean hold) {
        known.clear();
        watchedDeath = death;
        watchesHold = hold;
        watchedSince = clock.nanos();
    }

    /** After how many nanoseconds each that knows by now came to know. */
    synchronized Map<Integer, Long> known() {
        return new TreeMap<>(known);
    }

    /** How often one that runs was taken for dead by somebody, since the last call. */
    synchronized int takeWrongDeaths() {
        int wrong = wrongDeaths;
        wrongDeaths = 0;
        return wrong;
    }

    @Override
    public synchronized void changed(int router, Change change, long nanos) {
        if (change.kind() == Change.Kind.FAILED) {
            failed(router, change.member(), nanos);
        }
    }

    private void failed(int by, String name, long nanos) {
        if (name.equals(watchedDeath)) {
            known.putIfAbsent(by, nanos - watchedSince);
        } else if (!killedAt.containsKey(name) && nanos - startedAt.getOrDefault(name, 0L) > LATE_NANOS) {
            wrongDeaths++;
        }
    }

    @Override
    public synchronized void holds(int router, long nanos) {
        if (watchesHold) {
            known.putIfAbsent(router, nanos - watchedSince);
        }
    }

    /** A real router's log has a line. */
    synchronized void said(String router, String line) {
        int failed = line.indexOf(FAILED);
        if (failed >= 0) {
            failed(
                    RouterTexts.number(router),
                    line.substring(failed + FAILED.length()).split(" ")[0],
                    clock.nanos());
        } else if (line.contains(HOLDS)) {
            holds(RouterTexts.number(router), clock.nanos());
        }
    }
}
