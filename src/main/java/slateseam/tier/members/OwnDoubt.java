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
final class OwnDoubt {
    /** Between two ticks; after a longer time this router stood still. */
    private static final long STOOD_STILL = 300_000_000L;

    /** Half, but for what is lost when it is told in a byte. */
    private static final double LEAST_MINORITY = 0.495;

    private final MembersSettings settings;
    private final long self;
    private final Roster roster;
    private final Watch watch;
    private final Set<Long> heardSince = new HashSet<>();
    private long lastTick;
    private boolean heardAny;
    private boolean paused;
    private boolean unheard;
    /** Which part of the tier is silent: as it is here, evened out with what others say. */
    private double silentPart;

    private Doubt doubt = Doubt.STARTING;

    OwnDoubt(MembersSettings settings, long self, Roster roster, Watch watch, long now) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.watch = watch;
        lastTick = now;
    }

    Doubt now() {
        return doubt;
    }

    boolean isThere() {
        return doubt != Doubt.NONE;
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

    void heard(long id) {
        heardAny = true;
        if (paused) {
            heardSince.add(id);
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
        double sum = own;
        int number = 1;
        for (Member member : roster.all()) {
            if (watch.heardNow(member, now)) {
                sum += member.silentPart;
                number++;
            }
        }
        silentPart = sum / number;
    }

    /**
     * How many are there as far as this router can know: those that it hears, those that one of these watches and does not suspect,
     * and so on. Guards against one whom nobody on this side of a cut watches, so that nobody misses it.
     */
    private long reached(long now) {
        Map<Long, List<Long>> subjects = new HashMap<>();
        Deque<Long> open = new ArrayDeque<>(List.of(self));
        Set<Long> reached = new HashSet<>(open);
        for (Member member : roster.all()) {
            if (!member.state.isGone()) {
                roster.rings
                        .watchers(member.id)
                        .forEach(by -> subjects.computeIfAbsent(by, x -> new ArrayList<>())
                                .add(member.id));
                if (!watch.isLate(member, now) && member.heardAt != 0 && reached.add(member.id)) {
                    open.add(member.id);
                }
            }
        }
        while (!open.isEmpty()) {
            for (long id : subjects.getOrDefault(open.poll(), List.of())) {
                Member member = roster.find(id);
                if (member.state == State.ALIVE
                        && !(watch.subjects().contains(member) && watch.isLate(member, now))
                        && reached.add(id)) {
                    open.add(id);
                }
            }
        }
        return reached.stream()
                .filter(id -> id == self || roster.find(id).state == State.ALIVE)
                .count();
    }

    /** Which part of the tier is silent, as far as one can tell here; 0 to 1. */
    double silentPart() {
        return silentPart;
    }

    /** What it comes to now. */
    Doubt look(long now) {
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
        long base = 1;
        long suspects = 0;
        for (Member member : roster.all()) {
            boolean recent = member.state == State.FAILED && now - member.since < settings.recentNanos();
            base += !member.state.isGone() || recent ? 1 : 0;
            suspects += member.state == State.SUSPECT ? 1 : 0;
        }
        long there = suspects == 0 ? roster.present() : reached(now);
        evenOut(subjects == 0 ? 0 : (double) silent / subjects * (base - 1) / base, now);
        boolean minority = silentPart > LEAST_MINORITY || there * 2 <= base;
        boolean alone = !heardAny && settings.peers().size() > 1;
        doubt = paused
                ? Doubt.PAUSED
                : unheard ? Doubt.UNHEARD : alone ? Doubt.STARTING : minority ? Doubt.MINORITY : Doubt.NONE;
        return doubt;
    }
}
