package slateseam.router.membership;

import java.util.List;

/**
 * The servers that are in no slice any more but still count: for a moment, as they may be on their way to another
 * slice, or for longer, as so many left at once that it may be a mistake.
 */
final class Absent {
    private final MembershipSettings.Guard settings;
    private final Notes notes;
    private final Losses farm;
    private final Losses origins;
    private final Waits<Tracked> moving;
    private final Waits<Tracked> guarded;
    private boolean newlyLost;
    private int released;
    private boolean noneReady;

    Absent(MembershipSettings settings, Notes notes) {
        this.settings = settings.guard();
        this.notes = notes;
        int most = settings.bounds().servers();
        farm = new Losses(this.settings, most);
        origins = new Losses(this.settings, most);
        moving = new Waits<>(most);
        guarded = new Waits<>(most);
    }

    Losses losses(Tracked server) {
        return server.origin ? origins : farm;
    }

    boolean contains(Tracked server) {
        return moving.contains(server) || guarded.contains(server);
    }

    boolean isGuarded(Tracked server) {
        return guarded.contains(server);
    }

    /** One is in no slice any more. */
    void add(Tracked server, long now) {
        moving.put(server, now + settings.moveNanos());
        if (server.told.ready()) {
            losses(server).ready(server, false);
            losses(server).lost(server, now);
            newlyLost = true;
        }
    }

    /** One is in a slice. */
    void returned(Tracked server) {
        moving.remove(server);
        guarded.remove(server);
        losses(server).returned(server);
    }

    /** One drains: that is never held up. */
    void drained(Tracked server, long now) {
        losses(server).returned(server);
        if (guarded.remove(server)) {
            moving.put(server, now + settings.moveNanos());
        }
    }

    /** One was here when this was remembered; its time begins anew, as nobody looked while the process was down. */
    void restore(Tracked server, boolean isGuarded, long now) {
        if (isGuarded) {
            guarded.put(server, now + settings.nanos());
        } else {
            moving.put(server, now + settings.moveNanos());
        }
        if (server.told.ready()) {
            losses(server).lost(server, now);
        }
    }

    /** Keeps those that left for longer if too many did. */
    void guard(long now) {
        if (newlyLost) {
            newlyLost = false;
            guard(farm, false, "application servers", now);
            guard(origins, true, "origins", now);
        }
        boolean none = farm.ready() == 0 && guarded.size() == 0 && moving.size() == 0;
        if (none && !noneReady) {
            notes.add("farm-none-ready", "no application server is ready; none gets anything new");
        }
        noneReady = none;
    }

    private void guard(Losses losses, boolean origin, String what, long now) {
        if (!losses.isShrunk(now)) {
            return;
        }
        List<Tracked> kept = moving.all().stream()
                .filter(s -> s.origin == origin && s.told.ready())
                .toList();
        if (!kept.isEmpty() && guarded.size() == 0) {
            notes.add(
                    "farm-shrunk",
                    kept.size() + " of " + losses.before() + " ready " + what + " are listed no more; "
                            + "they count for another " + settings.nanos() / 1_000_000
                            + " ms unless they are told to drain");
        }
        for (Tracked server : kept) {
            moving.remove(server);
            guarded.put(server, now + settings.nanos());
        }
    }

    /** One that counts no more; null if none is due. */
    Tracked poll(long now) {
        Tracked due = moving.poll(now);
        if (due != null) {
            return due;
        }
        due = guarded.poll(now);
        released += due == null ? 0 : 1;
        if (released > 0 && guarded.size() == 0) {
            notes.add("farm-shrunk", released + " servers are still not listed and count no more");
            released = 0;
        }
        return due;
    }

    long next() {
        return Math.min(moving.next(), guarded.next());
    }
}
