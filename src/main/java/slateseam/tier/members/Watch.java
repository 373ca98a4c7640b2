package slateseam.tier.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import slateseam.tier.members.Member.Heard;
import slateseam.tier.members.Message.Ear;
import slateseam.tier.members.Message.Verdict;

/**
 * The failure detector for the members that this router monitors. Silence towards one router is not enough for a
 * suspicion: a router that hears nothing from a member asks the other routers that monitor the member, and a single
 * router that hears the member is believed. A member becomes suspect once most of the routers that monitor it, not
 * counting suspects, hear nothing from it; the member is declared failed if nobody refutes the suspicion in time.
 */
final class Watch {
    /** Limit on the routers whose last verdict on one member is kept. */
    private static final int MAX_VERDICTS = 1_024;

    /** Periods of silence after which missing verdicts of other routers are no longer awaited. */
    private static final int VERDICT_WAIT_PERIODS = 3;
    /** Periods for which a verdict is valid; verdicts are repeated each period. */
    private static final int VERDICT_VALID_PERIODS = 3;

    /** Periods of silence after which a member is late, whatever its usual gaps are. */
    private static final int LATE_PERIODS = 4;

    private final MembersSettings settings;
    private final long self;
    private final Roster roster;
    private final BiConsumer<Member, Verdict> tell;
    /** The members that this router monitors, for version {@link #ringsVersion} of the rings. */
    private List<Member> subjects = new ArrayList<>();

    private int ringsVersion = -1;
    /** The time of the last check of all monitored members. */
    private long lastCheckAt;

    /**
     * Creates a failure detector.
     *
     * @param tell sends a verdict to a member
     */
    Watch(MembersSettings settings, long self, Roster roster, BiConsumer<Member, Verdict> tell) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.tell = tell;
    }

    /** Returns the members that this router monitors now. */
    List<Member> subjects() {
        if (ringsVersion != roster.rings.version()) {
            ringsVersion = roster.rings.version();
            List<Member> found = new ArrayList<>();
            for (long id : roster.rings.subjects(self)) {
                Member member = roster.find(id);
                if (member != null) {
                    // A newly monitored member is not held responsible for its silence before the monitoring started.
                    member.watchedSince = subjects.contains(member)
                            ? member.watchedSince
                            : Math.max(member.watchedSince, lastCheckAt);
                    found.add(member);
                }
            }
            subjects = found;
        }
        return subjects;
    }

    /** Returns whether a member has been silent for longer than its own time-out, which follows its usual gaps. */
    boolean isSilent(Member member, long now) {
        return now - Math.max(member.heardAt, member.watchedSince) > member.silenceTimeout(settings.periodNanos());
    }

    /**
     * Returns whether a member has been silent for longer than the loss of a message or two explains, whatever its
     * usual gaps are.
     */
    boolean isLate(Member member, long now) {
        return now - Math.max(member.heardAt, member.watchedSince) > LATE_PERIODS * settings.periodNanos();
    }

    /**
     * Returns whether a message of a member arrived within the last one and a half periods, which is recent enough to
     * vouch for it to others.
     */
    boolean heardNow(Member member, long now) {
        return member.heardAt != 0 && now - member.heardAt <= 3 * settings.periodNanos() / 2;
    }

    /** Returns whether messages of a member arrive here, whether or not this router monitors it. */
    boolean hears(Member member, long now) {
        return member.heardAt != 0 && now - member.heardAt <= member.silenceTimeout(settings.periodNanos());
    }

    /**
     * Checks all monitored members, sends verdicts on the silent ones, and suspects those that most monitoring
     * routers do not hear.
     *
     * @param doubts whether this router distrusts its own view; it then suspects nobody
     */
    void checkSubjects(long now, boolean doubts) {
        lastCheckAt = now;
        for (Member member : List.copyOf(subjects())) {
            if (!isSilent(member, now)) {
                continue;
            }
            member.silentSince = member.silentSince == 0 ? now : member.silentSince;
            if (now - member.verdictSentAt >= settings.periodNanos()) {
                member.verdictSentAt = now;
                Verdict ownVerdict =
                        new Verdict(member.id, member.life, member.incarnation, doubts ? Ear.UNSURE : Ear.SILENT);
                for (long other : roster.watchers(member.id, self)) {
                    tell.accept(roster.find(other), ownVerdict);
                }
                // The member is informed too: it may not know yet that this router monitors it, and replies.
                tell.accept(member, ownVerdict);
            }
            if (!doubts
                    && member.state == State.ALIVE
                    && now - member.silentSince >= settings.periodNanos()
                    && isUnheard(member, now)) {
                roster.apply(member, member.life, member.incarnation, State.SUSPECT, self, now);
            }
        }
    }

    /**
     * Returns whether no router is known to hear a member and most of the routers that monitor it have reported its
     * silence, or have not answered for several periods.
     */
    private boolean isUnheard(Member member, long now) {
        if (now < member.vouchedUntil) {
            return false;
        }
        Set<Long> others = roster.watchers(member.id, self);
        int silent = 1;
        int unsure = 0;
        for (var each : member.ears.entrySet()) {
            if (each.getValue().until() <= now) {
                continue;
            }
            if (each.getValue().ear() == Ear.HEARS) {
                return false;
            }
            if (others.contains(each.getKey())) {
                silent += each.getValue().ear() == Ear.SILENT ? 1 : 0;
                unsure += each.getValue().ear() == Ear.UNSURE ? 1 : 0;
            }
        }
        return silent > (others.size() + 1 - unsure) / 2
                || now - member.silentSince >= VERDICT_WAIT_PERIODS * settings.periodNanos();
    }

    /** Handles the verdict of another router on a member. */
    void handleVerdict(Member by, Verdict verdict, long now) {
        Member member = roster.find(verdict.id());
        if (member == null
                || verdict.life() != member.life
                || verdict.incarnation() < member.incarnation
                || verdict.ear() != Ear.HEARS && verdict.incarnation() != member.incarnation) {
            return;
        }
        if (member.ears.size() < MAX_VERDICTS) {
            member.ears.put(by.id, new Heard(verdict.ear(), now + VERDICT_VALID_PERIODS * settings.periodNanos()));
        }
        if (verdict.ear() != Ear.HEARS && heardNow(member, now)) {
            tell.accept(by, new Verdict(member.id, member.life, member.incarnation, Ear.HEARS));
        }
    }

    /**
     * Declares the suspects failed whose time for a refutation has expired.
     *
     * @param doubts whether this router distrusts its own view; it then declares nobody failed
     */
    void failExpiredSuspects(long now, boolean doubts) {
        if (roster.suspects() == 0) {
            return;
        }
        List<Member> over = new ArrayList<>();
        for (Member member : roster.all()) {
            if (member.state == State.SUSPECT && doubts) {
                // While this router distrusts its view, every suspect gets the full time for a refutation again.
                member.suspectUntil = now + settings.suspicionNanos();
            } else if (member.state == State.SUSPECT && now >= member.suspectUntil) {
                over.add(member);
            }
        }
        for (Member member : over) {
            roster.apply(member, member.life, member.incarnation, State.FAILED, self, now);
        }
    }

    /**
     * Restarts the silence of all members from now, when this router trusts its view again, so that nobody is
     * suspected for messages that were missed in the meantime.
     */
    void restartSilence(long now) {
        for (Member member : roster.all()) {
            member.watchedSince = now;
            member.silentSince = 0;
        }
    }

    /**
     * Compensates for a pause of this router, which is not silence of the others.
     *
     * @param nanos the length of the pause
     */
    void compensatePause(long nanos, long now) {
        lastCheckAt = now;
        for (Member member : roster.all()) {
            member.watchedSince = now;
            member.silentSince = 0;
            member.suspectUntil += member.state == State.SUSPECT ? nanos : 0;
            member.ears.clear();
        }
    }
}
