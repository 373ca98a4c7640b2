package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import slateseam.tier.members.Message.Ear;

/**
 * This router's knowledge of one other member. A <em>life</em> is one run of the member's process and is identified
 * by its start time in Unix milliseconds; an incarnation number orders the claims about the member within a life.
 * Times without another unit are nanoseconds.
 */
final class Member {
    /** The shortest time, 2 s, for which a refutation by another member protects this member from suspicion. */
    private static final long MIN_VOUCH_NANOS = 2_000_000_000L;
    /** The longest such time, 16 s; the time doubles with each refutation. */
    private static final long MAX_VOUCH_NANOS = 16_000_000_000L;
    /** The encoding of a silent fraction of 1, which means that every monitored member is silent. */
    static final int SILENT_FRACTION_SCALE = 255;

    /** The last verdict of a router that monitors this member, and the time until which the verdict is valid. */
    record Heard(Ear ear, long until) {}

    final long id;
    String name;
    /** The number in the list of peers; -1 if it is not known. */
    int number = -1;

    InetSocketAddress address;
    /** The address that other members report for this member; null if none has been reported. */
    InetSocketAddress reportedAddress;

    /** The start time of the member's process in Unix milliseconds, as announced by the member itself. */
    long life;

    int incarnation;
    State state = State.ALIVE;
    /** The time at which the member entered its current state or life. */
    long stateSince;
    /** The id of the router that reported the current state. */
    long reportedBy;
    /** The sequence number of the last message received in this life. */
    int sequence;
    /** The time at which the last message arrived; 0 if none has arrived in this life. */
    long heardAt;
    /** Messages received in quick succession since the member was declared failed. */
    int messagesSinceFailure;
    /**
     * The time from which silence counts, so that a member is not suspected for a time in which it could not be
     * heard.
     */
    long watchedSince;

    /** Moving average of the time between two messages of this member. */
    private double meanGap;
    /** Moving estimate of the deviation of the gaps from their mean. */
    private double deviation;
    /**
     * The time at which this router, which monitors the member, first found it silent; 0 if the member is not silent.
     */
    long silentSince;

    /** The time at which this router last sent its verdict on the silent member to the other monitors. */
    long verdictSentAt;
    /**
     * The time until which a refutation by another member protects this member from being suspected here again; the
     * protection lengthens with each refutation.
     */
    long vouchedUntil;

    /** The number of refutations by others since a message last arrived here. */
    private int vouchCount;
    /** The deadline for refuting the current suspicion; 0 unless the member is suspect. */
    long suspectUntil;

    /** The verdicts of other routers on this member, by the id of the router. */
    final Map<Long, Heard> ears = new HashMap<>();
    /** The life of another process that uses the same name. */
    long otherLife;

    /** The sequence number of the last message of that other process. */
    int otherSequence;
    /** The number of messages of that other process received in sequence after its first. */
    int otherMessages;
    /** The time at which the duplicate name was last reported; 0 if it has not been reported. */
    long duplicateReportedAt;
    /** The fraction of the tier that the member last reported as silent, in units of 1/{@link #SILENT_FRACTION_SCALE}. */
    int silentFraction;
    /** Whether {@link LocalHealth} has the member in its list of recently heard members. */
    boolean isRecentlyHeard;
    /** The number of the last reachability search of {@link LocalHealth} that reached this member. */
    int lastReachedBySearch;
    /** The number of consecutive messages of the member whose view digest differed from the digest here. */
    int digestMismatches;

    Member(long id) {
        this.id = id;
    }

    /**
     * Returns whether a claim supersedes the known state: a later life, a higher incarnation of the same life, or a
     * later {@link State} of the same incarnation. Within a life, a departure supersedes every other claim and is
     * never superseded.
     */
    boolean isOlderThan(long aLife, int anIncarnation, State aState) {
        if (aLife == life && (state == State.LEFT || aState == State.LEFT)) {
            return state != State.LEFT; // nobody can refute a departure that the member itself announced
        }
        return aLife > life
                || aLife == life
                        && (anIncarnation > incarnation || anIncarnation == incarnation && aState.compareTo(state) > 0);
    }

    /** Resets the per-life state for a new life of the member. */
    void startLife(long aLife, int anIncarnation, long now) {
        life = aLife;
        incarnation = anIncarnation;
        sequence = 0;
        heardAt = 0;
        messagesSinceFailure = 0;
        watchedSince = now;
        silentSince = 0;
        otherMessages = 0;
        vouchedUntil = 0;
        vouchCount = 0;
        ears.clear();
    }

    /**
     * Records that another member refuted a suspicion of this member. The member is protected for a time, so that a
     * router that cannot hear it does not suspect it over and over.
     */
    void recordVouch(long now) {
        vouchedUntil = now + Math.min(MAX_VOUCH_NANOS, MIN_VOUCH_NANOS << Math.min(vouchCount, 8));
        vouchCount++;
    }

    /**
     * Records the arrival of a message and updates the statistics of the gaps between messages.
     *
     * @param period the heartbeat period
     * @param updatesStatistics false if the gap may have been caused by this router's own pause and must not enter the
     *     statistics
     */
    void recordMessage(long now, long period, boolean updatesStatistics) {
        if (heardAt != 0 && updatesStatistics) {
            double gap = Math.min(now - heardAt, 8.0 * period);
            meanGap = meanGap == 0 ? gap : meanGap + (gap - meanGap) / 16;
            // The estimate rises quickly on an unusual gap and decays slowly.
            double off = Math.abs(gap - meanGap);
            deviation += (off - deviation) / (off > deviation ? 4 : 32);
        }
        heardAt = now;
        silentSince = 0;
        vouchedUntil = 0;
        vouchCount = 0;
    }

    /**
     * Returns the silence after which the member counts as silent: the mean gap plus four deviations plus one and a
     * half periods, but at least 4 and at most 12 periods.
     */
    long silenceTimeout(long period) {
        double usual = meanGap == 0 ? period : meanGap;
        return (long) Math.max(4.0 * period, Math.min(12.0 * period, usual + 4 * deviation + 1.5 * period));
    }
}
