package slateseam.tier.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import slateseam.tier.members.Member.Heard;
import slateseam.tier.members.Message.Ear;
import slateseam.tier.members.Message.Verdict;

/**
 * Those whom this router watches. Silence alone accuses nobody: who hears nothing of a member asks the others that watch it, and one
 * who hears it is believed by all. A member is suspected once most of those that watch it, and are not suspects themselves, hear
 * nothing of it; it has failed if then nobody answers for it.
 */
final class Watch {
    /** Periods after which other watchers that say nothing are no longer waited for. */
    /** Of one member: others whose last word on whether they hear it is kept. */
    private static final int MOST_EARS = 1_024;

    private static final int UNANSWERED = 3;
    /** Periods for which a verdict holds; it is said again each period. */
    private static final int HOLDS = 3;

    private static final int LATE = 4;

    private final MembersSettings settings;
    private final long self;
    private final Roster roster;
    private final BiConsumer<Member, Verdict> tell;
    private List<Member> subjects = new ArrayList<>();
    private int seen = -1;
    /** Of the last look. */
    private long time;

    /**
     * Creates it.
     *
     * @param tell sends a verdict to another watcher
     */
    Watch(MembersSettings settings, long self, Roster roster, BiConsumer<Member, Verdict> tell) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.tell = tell;
    }

    /** Those whom this router watches now. */
    List<Member> subjects() {
        if (seen != roster.rings.version()) {
            seen = roster.rings.version();
            List<Member> found = new ArrayList<>();
            for (long id : roster.rings.subjects(self)) {
                Member member = roster.find(id);
                if (member != null) {
                    // Guards against one that is accused for the time in which nobody here listened for it.
                    member.watchedSince =
                            subjects.contains(member) ? member.watchedSince : Math.max(member.watchedSince, time);
                    found.add(member);
                }
            }
            subjects = found;
        }
        return subjects;
    }

    boolean isSilent(Member member, long now) {
        return now - Math.max(member.heardAt, member.watchedSince) > member.patience(settings.periodNanos());
    }

    /** Whether it has not heard it for longer than a message or two take to be lost, whatever its usual gaps are. */
    boolean isLate(Member member, long now) {
        return now - Math.max(member.heardAt, member.watchedSince) > LATE * settings.periodNanos();
    }

    /** Whether it has heard it just now, so that others can be told. */
    boolean heardNow(Member member, long now) {
        return member.heardAt != 0 && now - member.heardAt <= 3 * settings.periodNanos() / 2;
    }

    /** Whether it has heard it lately, whoever watches it. */
    boolean hears(Member member, long now) {
        return member.heardAt != 0 && now - member.heardAt <= member.patience(settings.periodNanos());
    }

    /** Looks at all subjects; suspects those of whom most watchers hear nothing. */
    void look(long now, boolean doubts) {
        time = now;
        for (Member member : List.copyOf(subjects())) {
            if (!isSilent(member, now)) {
                continue;
            }
            member.silentSince = member.silentSince == 0 ? now : member.silentSince;
            if (now - member.toldAt >= settings.periodNanos()) {
                member.toldAt = now;
                Verdict mine =
                        new Verdict(member.id, member.life, member.incarnation, doubts ? Ear.UNSURE : Ear.SILENT);
                for (long other : roster.watchers(member.id, self)) {
                    tell.accept(roster.find(other), mine);
                }
                // Itself too: it may not know yet that it is watched from here, and answers.
                tell.accept(member, mine);
            }
            if (!doubts
                    && member.state == State.ALIVE
                    && now - member.silentSince >= settings.periodNanos()
                    && isUnheard(member, now)) {
                roster.take(member, member.life, member.incarnation, State.SUSPECT, self, now);
            }
        }
    }

    /** Whether nobody hears it and most of those that could say so have said so, or have said nothing for long. */
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
                || now - member.silentSince >= UNANSWERED * settings.periodNanos();
    }

    /** Another router says whether it hears a member. */
    void said(Member by, Verdict verdict, long now) {
        Member member = roster.find(verdict.id());
        if (member == null
                || verdict.life() != member.life
                || verdict.incarnation() < member.incarnation
                || verdict.ear() != Ear.HEARS && verdict.incarnation() != member.incarnation) {
            return;
        }
        if (member.ears.size() < MOST_EARS) {
            member.ears.put(by.id, new Heard(verdict.ear(), now + HOLDS * settings.periodNanos()));
        }
        if (verdict.ear() != Ear.HEARS && heardNow(member, now)) {
            tell.accept(by, new Verdict(member.id, member.life, member.incarnation, Ear.HEARS));
        }
    }

    /** Those whose time to answer is over have failed. */
    void judge(long now, boolean doubts) {
        if (roster.suspects() == 0) {
            return;
        }
        List<Member> over = new ArrayList<>();
        for (Member member : roster.all()) {
            if (member.state == State.SUSPECT && doubts) {
                // Whoever doubted itself gives everybody the whole time anew.
                member.suspectUntil = now + settings.suspicionNanos();
            } else if (member.state == State.SUSPECT && now >= member.suspectUntil) {
                over.add(member);
            }
        }
        for (Member member : over) {
            roster.take(member, member.life, member.incarnation, State.FAILED, self, now);
        }
    }

    /** This router doubts itself no longer: it listens anew, and accuses nobody for what it did not hear meanwhile. */
    void listenAnew(long now) {
        for (Member member : roster.all()) {
            member.watchedSince = now;
            member.silentSince = 0;
        }
    }

    /** What fell into this router's own pause was nobody's silence. */
    void shift(long nanos, long now) {
        time = now;
        for (Member member : roster.all()) {
            member.watchedSince = now;
            member.silentSince = 0;
            member.suspectUntil += member.state == State.SUSPECT ? nanos : 0;
            member.ears.clear();
        }
    }
}
