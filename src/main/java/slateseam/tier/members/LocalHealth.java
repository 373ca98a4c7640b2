package slateseam.tier.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Whether this router trusts what it sees: it was not paused, hears most, and is heard. */
final class LocalHealth {
    /** Between two ticks; after a longer time this router stood still. */
    private static final long STOOD_STILL = 300_000_000L;

    /** Half, but for what is lost when it is told in a byte. */
    private static final double LEAST_MINORITY = 0.495;

    private final MembersSettings settings;
    private final long self;
    private final Roster roster;
    private final Watch watch;
    private final Set<Long> heardSince = new HashSet<>();
    /** Those that were heard lately, and some that were not since. */
    private final List<Member> recent = new ArrayList<>();
    /** Whom each watches, by their numbers; worked out for {@link #watchedVersion} of the rings. */
    private final Map<Long, List<Member>> watched = new HashMap<>();

    private int watchedVersion = -1;
    private int searches;
    private long lastTick;
    private boolean heardAny;
    private boolean paused;
    private boolean unheard;
    /** Which part of the tier is silent: as it is here, evened out with what others say. */
    private double silentPart;

    private LocalHealthIssue doubt = LocalHealthIssue.STARTING;

    LocalHealth(MembersSettings settings, long self, Roster roster, Watch watch, long now) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.watch = watch;
        lastTick = now;
    }

    LocalHealthIssue now() {
        return doubt;
    }

    boolean isThere() {
        return doubt != LocalHealthIssue.NONE;
    }

    /** Time goes on; a gap in it was a pause of this router. */
    void tick(long now) {
        long gap = now - lastTick;
        lastTick = now;
        if (gap > STOOD_STILL) {
            paused = true;
            heardSince.clear();
            watch.shift(gap, now);
        }
    }

    void heard(Member sender) {
        heardAny = true;
        if (paused) {
            heardSince.add(sender.id);
        }
        if (!sender.isRecent) {
            sender.isRecent = true;
            recent.add(sender);
        }
    }

    /** Others take this router for gone, or see it again. */
    void unheard(boolean so) {
        unheard = so;
    }

    /**
     * Guards against the few that each watches, of whom chance may let most lie behind a cut, or few: with what others say, who hear
     * others say it, it comes to what all on this side of the cut see together.
     */
    private void evenOut(double own, long now) {
        recent.removeIf(member -> {
            member.isRecent = watch.heardNow(member, now);
            return !member.isRecent;
        });
        int sum = 0;
        for (Member member : recent) {
            sum += member.silent;
        }
        silentPart = (own + (double) sum / Member.MOST_SILENT) / (1 + recent.size());
    }

    /** Whom each watches, of all that are there. */
    private Map<Long, List<Member>> watched() {
        if (watchedVersion != roster.rings.version()) {
            watchedVersion = roster.rings.version();
            watched.clear();
            for (Member member : roster.all()) {
                if (!member.state.isGone()) {
                    for (long by : roster.rings.watchers(member.id)) {
                        watched.computeIfAbsent(by, x -> new ArrayList<>()).add(member);
                    }
                }
            }
        }
        return watched;
    }

    /**
     * Whether there are more than half of so many, as far as this router can know: those that it hears, those that one of these watches
     * and does not suspect, and so on. Guards against one whom nobody on this side of a cut watches, so that nobody misses it.
     */
    private boolean reachesMost(long base, long now) {
        searches++;
        int alive = 1;
        Deque<Long> open = new ArrayDeque<>(List.of(self));
        for (Member member : roster.all()) {
            if (!member.state.isGone() && !watch.isLate(member, now) && member.heardAt != 0) {
                member.reachedBy = searches;
                open.add(member.id);
                alive += member.state == State.ALIVE ? 1 : 0;
            }
        }
        while (!open.isEmpty() && alive * 2L <= base) {
            for (Member member : watched().getOrDefault(open.poll(), List.of())) {
                if (member.reachedBy != searches
                        && member.state == State.ALIVE
                        && !(watch.isLate(member, now) && watch.subjects().contains(member))) {
                    member.reachedBy = searches;
                    open.add(member.id);
                    alive++;
                }
            }
        }
        return alive * 2L > base;
    }

    /** Which part of the tier is silent, as far as one can tell here; 0 to 1. */
    double silentPart() {
        return silentPart;
    }

    /** What it comes to now. */
    LocalHealthIssue look(long now) {
        long subjects = 0;
        long silent = 0;
        long since = 0;
        for (Member member : watch.subjects()) {
            subjects++;
            silent += watch.isLate(member, now) ? 1 : 0;
            since += heardSince.contains(member.id) ? 1 : 0;
        }
        if (paused && since * 2 >= subjects) {
            paused = false;
            heardSince.clear();
        }
        long base = roster.present();
        for (Member member : roster.gone()) {
            base += member.state == State.FAILED && now - member.since < settings.recentNanos() ? 1 : 0;
        }
        boolean most = roster.suspects() == 0 ? roster.present() * 2L > base : reachesMost(base, now);
        evenOut(subjects == 0 ? 0 : (double) silent / subjects * (base - 1) / base, now);
        boolean minority = silentPart > LEAST_MINORITY || !most;
        boolean alone = !heardAny && settings.peers().size() > 1;
        doubt = paused
                ? LocalHealthIssue.PAUSED
                : unheard
                        ? LocalHealthIssue.UNHEARD
                        : alone
                                ? LocalHealthIssue.STARTING
                                : minority ? LocalHealthIssue.MINORITY : LocalHealthIssue.NONE;
        return doubt;
    }
}
