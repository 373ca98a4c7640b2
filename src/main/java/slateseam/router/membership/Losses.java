package slateseam.router.membership;

/**
 * How many ready servers left lately by being listed no more, against how many there were: tells a list that shrank by
 * mistake from one whose servers were drained or replaced. What drains first is no loss.
 */
final class Losses {
    private final MembershipSettings.Guard guard;
    private final Waits<String> lost;
    private final Waits<String> came;
    /** Those that are in a slice, and ready. */
    private int ready;

    Losses(MembershipSettings.Guard guard, int most) {
        this.guard = guard;
        lost = new Waits<>(most);
        came = new Waits<>(most);
    }

    /** One in a slice turned ready, or was so and is no more. */
    void ready(Tracked server, boolean isReady) {
        ready += isReady ? 1 : -1;
        if (!isReady) {
            came.remove(server.name);
        }
    }

    /** One was ready for the first time ever. */
    void came(Tracked server, long now) {
        came.put(server.name, now + guard.nanos());
    }

    /** One that was ready is in no slice any more. */
    void lost(Tracked server, long now) {
        lost.put(server.name, now + guard.nanos());
    }

    /** One is in a slice again. */
    void returned(Tracked server) {
        lost.remove(server.name);
    }

    int ready() {
        return ready;
    }

    /** How many ready servers there were at the begin of the guard's time, without those that drain since. */
    int before() {
        return ready - came.size() + lost.size();
    }

    /** Whether more than the share was lost in the guard's time and not made up for; one of several never is. */
    boolean isShrunk(long now) {
        while (lost.poll(now) != null || came.poll(now) != null) {
            continue;
        }
        int net = lost.size() - came.size();
        return net > guard.share() * before() && (net > 1 || ready == 0);
    }
}
