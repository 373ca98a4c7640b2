package slateseam.tier.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this router may trust its own view of the tier: the process was not paused, hears a majority of the
 * members, and is heard by others. While the view is not trusted, this router neither suspects nor declares failed
 * any member.
 */
final class LocalHealth {
    /** A gap between two ticks that is longer than this (300 ms) counts as a pause of this process. */
    private static final long PAUSE_THRESHOLD_NANOS = 300_000_000L;

    /**
     * The silent fraction above which this router counts itself as part of a minority: one half, less the rounding
     * loss of sending the fraction in one byte.
     */
    private static final double MINORITY_THRESHOLD = 0.495;

    private final MembersSettings settings;
    private final long self;
    private final Roster roster;
    private final Watch watch;
    /** The members heard since this process resumed after a pause; filled only while {@link #paused}. */
    private final Set<Long> heardSincePause = new HashSet<>();
    /** The members heard recently; members that have fallen silent are removed at the next evaluation. */
    private final List<Member> recent = new ArrayList<>();
    /**
     * The members that each router monitors, by the id of the monitoring router; computed for version {@link
     * #subjectsVersion} of the rings.
     */
    private final Map<Long, List<Member>> subjectsByWatcher = new HashMap<>();

    private int subjectsVersion = -1;
    private int searchCount;
    private long lastTick;
    private boolean heardAny;
    private boolean paused;
    private boolean unheard;
    /** The fraction of the tier that is silent, averaged over this router's observation and the reports of others. */
    private double silentFraction;

    private LocalHealthIssue issue = LocalHealthIssue.STARTING;

    LocalHealth(MembersSettings settings, long self, Roster roster, Watch watch, long now) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.watch = watch;
        lastTick = now;
    }

    /** Returns the result of the last evaluation. */
    LocalHealthIssue issue() {
        return issue;
    }

    /** Returns whether this router currently distrusts its view. */
    boolean hasIssue() {
        return issue != LocalHealthIssue.NONE;
    }

    /** Advances the clock. A long gap since the previous tick means that this process was paused. */
    void tick(long now) {
        long gap = now - lastTick;
        lastTick = now;
        if (gap > PAUSE_THRESHOLD_NANOS) {
            paused = true;
            heardSincePause.clear();
            watch.compensatePause(gap, now);
        }
    }

    /** Records that a message of a member arrived. */
    void recordHeard(Member sender) {
        heardAny = true;
        if (paused) {
            heardSincePause.add(sender.id);
        }
        if (!sender.isRecentlyHeard) {
            sender.isRecentlyHeard = true;
            recent.add(sender);
        }
    }

    /** Records whether other routers hold this router as failed or left. */
    void setUnheard(boolean value) {
        unheard = value;
    }

    /**
     * Averages the silent fraction with the fractions that other members report. This router monitors only a few
     * members, and by chance most or few of these may lie behind a network partition. The members it hears average
     * over their own peers in turn, so the value converges to what all routers on this side of the partition observe
     * together.
     */
    private void averageSilentFraction(double ownFraction, long now) {
        recent.removeIf(member -> {
            member.isRecentlyHeard = watch.heardNow(member, now);
            return !member.isRecentlyHeard;
        });
        int sum = 0;
        for (Member member : recent) {
            sum += member.silentFraction;
        }
        silentFraction = (ownFraction + (double) sum / Member.SILENT_FRACTION_SCALE) / (1 + recent.size());
    }

    /** Returns the members that each router monitors, by the id of the monitoring router. */
    private Map<Long, List<Member>> subjectsByWatcher() {
        if (subjectsVersion != roster.rings.version()) {
            subjectsVersion = roster.rings.version();
            subjectsByWatcher.clear();
            for (Member member : roster.all()) {
                if (!member.state.isGone()) {
                    for (long by : roster.rings.watchers(member.id)) {
                        subjectsByWatcher
                                .computeIfAbsent(by, x -> new ArrayList<>())
                                .add(member);
                    }
                }
            }
        }
        return subjectsByWatcher;
    }

    /**
     * Returns whether a majority of the members is reachable as far as this router can tell. The search starts from
     * the members that this router hears and goes on to the members that are monitored by a reached member and not
     * suspected. Without it, a member that no router on this side of a partition monitors would be missed by nobody.
     *
     * @param base the number of members of which a majority is required
     */
    private boolean reachesMajority(long base, long now) {
        searchCount++;
        int alive = 1;
        Deque<Long> open = new ArrayDeque<>(List.of(self));
        for (Member member : roster.all()) {
            if (!member.state.isGone() && !watch.isLate(member, now) && member.heardAt != 0) {
                member.lastReachedBySearch = searchCount;
                open.add(member.id);
                alive += member.state == State.ALIVE ? 1 : 0;
            }
        }
        while (!open.isEmpty() && alive * 2L <= base) {
            for (Member member : subjectsByWatcher().getOrDefault(open.poll(), List.of())) {
                if (member.lastReachedBySearch != searchCount
                        && member.state == State.ALIVE
                        && !(watch.isLate(member, now) && watch.subjects().contains(member))) {
                    member.lastReachedBySearch = searchCount;
                    open.add(member.id);
                    alive++;
                }
            }
        }
        return alive * 2L > base;
    }

    /** Returns the fraction of the tier that is silent as far as this router can tell, from 0 to 1. */
    double silentFraction() {
        return silentFraction;
    }

    /** Evaluates the current situation and returns the reason for which this router distrusts its view, if any. */
    LocalHealthIssue evaluate(long now) {
        long subjects = 0;
        long silent = 0;
        long heardAfterPause = 0;
        for (Member member : watch.subjects()) {
            subjects++;
            silent += watch.isLate(member, now) ? 1 : 0;
            heardAfterPause += heardSincePause.contains(member.id) ? 1 : 0;
        }
        if (paused && heardAfterPause * 2 >= subjects) {
            paused = false;
            heardSincePause.clear();
        }
        long base = roster.present();
        for (Member member : roster.gone()) {
            base += member.state == State.FAILED && now - member.stateSince < settings.recentNanos() ? 1 : 0;
        }
        boolean majority = roster.suspects() == 0 ? roster.present() * 2L > base : reachesMajority(base, now);
        averageSilentFraction(subjects == 0 ? 0 : (double) silent / subjects * (base - 1) / base, now);
        boolean minority = silentFraction > MINORITY_THRESHOLD || !majority;
        boolean alone = !heardAny && settings.peers().size() > 1;
        issue = paused
                ? LocalHealthIssue.PAUSED
                : unheard
                        ? LocalHealthIssue.UNHEARD
                        : alone
                                ? LocalHealthIssue.STARTING
                                : minority ? LocalHealthIssue.MINORITY : LocalHealthIssue.NONE;
        return issue;
    }
}
