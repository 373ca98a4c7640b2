package slateseam.tier.members;

import slateseam.tier.members.Change.Kind;

/**
 * The identity of this router in the tier: its life and incarnation, and the handling of claims that others make
 * about it.
 */
final class SelfState {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    /**
     * For this long after its start, a router may replace its life by a later one than its clock gave. An earlier
     * process of the same name may have had a clock that was ahead.
     */
    private static final long LIFE_RAISE_NANOS = 3 * SECOND;
    /** The time in which a refutation should have reached all members. */
    private static final long REFUTATION_SPREAD_NANOS = 2 * SECOND;

    private final MembersSettings settings;
    private final long self;
    private final long startedAt;
    private final Roster roster;
    private final LocalHealth localHealth;
    private final MembersPort port;
    private long life;
    private int incarnation;
    private int sequence;
    /** The time of the last refutation of a suspicion of this router. */
    private long refutedAt;

    /** Whether the life has been replaced by a later one since the start. */
    private boolean lifeRaised;
    /** Whether another process with the same name has been detected. */
    private boolean duplicateName;
    /** The time at which the duplicate name was last reported; 0 if it has not been reported. */
    private long duplicateReportedAt;

    /**
     * Starts a new life, identified by the milliseconds of its start.
     *
     * @param now Unix time in nanoseconds
     */
    SelfState(MembersSettings settings, long self, long now, Roster roster, LocalHealth localHealth, MembersPort port) {
        this.settings = settings;
        this.self = self;
        this.startedAt = now;
        this.roster = roster;
        this.localHealth = localHealth;
        this.port = port;
        life = now / MILLI;
        roster.toggleInDigest(self, life, incarnation);
    }

    /** Returns the current life in Unix milliseconds. */
    long life() {
        return life;
    }

    /** Returns the current incarnation. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the sequence number of the next message. */
    int nextSequence() {
        return ++sequence;
    }

    /** Returns whether another process with the same name has been detected. */
    boolean hasDuplicateName() {
        return duplicateName;
    }

    /**
     * Handles a claim about this router.
     *
     * @return whether the claim was a suspicion or a failure that this router now refutes with a later incarnation or
     *     life
     */
    boolean handleClaim(long ofLife, int anIncarnation, State state, long now) {
        if (ofLife != life) {
            // The claiming router does not know this life, although it has been announced for long enough.
            if (ofLife < life && state.isGone() && now - startedAt > REFUTATION_SPREAD_NANOS) {
                localHealth.setUnheard(true);
            }
            handleOtherLife(ofLife, state, false, now);
        } else if (state == State.ALIVE && anIncarnation >= incarnation) {
            setIdentity(life, anIncarnation);
            localHealth.setUnheard(false);
        } else if (state.isGone() && anIncarnation < incarnation && now - refutedAt > REFUTATION_SPREAD_NANOS) {
            localHealth.setUnheard(true); // the refutation has not reached the other members
        } else if (state != State.ALIVE && anIncarnation >= incarnation) {
            refutedAt = now;
            if (state.isGone()) {
                localHealth.setUnheard(true);
            }
            if (anIncarnation >= Members.MAX_INCARNATION) {
                startLaterLife(life + 1);
            } else {
                setIdentity(life, anIncarnation + 1);
            }
            return true;
        }
        return false;
    }

    /**
     * Handles a message that was sent under this router's own name.
     *
     * @param ofLife the life in the message
     */
    void handleMessageOfOwnName(long ofLife, long now) {
        handleOtherLife(ofLife, State.ALIVE, true, now);
    }

    /**
     * Handles a different life under this router's name: either an earlier process whose clock was ahead, or a second
     * process that is still running.
     *
     * @param sentMessage whether the other life itself sent a message, as opposed to a claim by another router
     */
    private void handleOtherLife(long ofLife, State state, boolean sentMessage, long now) {
        boolean ended = state.isGone(); // the process of that life has ended
        if (ofLife > life && (ended || !lifeRaised && now - startedAt < LIFE_RAISE_NANOS)) {
            lifeRaised = true;
            startLaterLife(ofLife + 1);
        } else if (ofLife > life || sentMessage && ofLife != life) {
            duplicateName = true;
            if (duplicateReportedAt == 0 || now - duplicateReportedAt > Members.DUPLICATE_NAME_REPORT_NANOS) {
                duplicateReportedAt = now;
                port.changed(new Change(
                        Kind.TWICE, settings.name(), settings.number(), "life=" + life + " other_life=" + ofLife));
            }
        }
    }

    /** Continues in a later life. */
    private void startLaterLife(long later) {
        setIdentity(later, 0);
        sequence = 0;
    }

    /** Sets the life and incarnation and updates the digest of the present members, which includes them. */
    private void setIdentity(long aLife, int anIncarnation) {
        roster.toggleInDigest(self, life, incarnation);
        life = aLife;
        incarnation = anIncarnation;
        roster.toggleInDigest(self, life, incarnation);
    }
}
