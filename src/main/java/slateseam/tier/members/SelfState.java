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
    private final LocalHealth doubt;
    private final MembersPort sink;
    private long life;
    private int incarnation;
    private int sequence;
    /** The time of the last refutation of a suspicion of this router. */
    private long answeredAt;

    /** Whether the life has been replaced by a later one since the start. */
    private boolean raised;
    /** Whether another process with the same name has been detected. */
    private boolean twice;
    /** The time at which the duplicate name was last reported; 0 if it has not been reported. */
    private long twiceToldAt;

    /**
     * Starts a new life, identified by the milliseconds of its start.
     *
     * @param now Unix time in nanoseconds
     */
    SelfState(MembersSettings settings, long self, long now, Roster roster, LocalHealth doubt, MembersPort sink) {
        this.settings = settings;
        this.self = self;
        this.startedAt = now;
        this.roster = roster;
        this.doubt = doubt;
        this.sink = sink;
        life = now / MILLI;
        roster.fold(self, life, incarnation);
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
    int next() {
        return ++sequence;
    }

    /** Returns whether another process with the same name has been detected. */
    boolean isTwice() {
        return twice;
    }

    /**
     * Handles a claim about this router.
     *
     * @return whether the claim was a suspicion or a failure that this router now refutes with a later incarnation or
     *     life
     */
    boolean told(long ofLife, int anIncarnation, State state, long now) {
        if (ofLife != life) {
            // The claiming router does not know this life, although it has been announced for long enough.
            if (ofLife < life && state.isGone() && now - startedAt > REFUTATION_SPREAD_NANOS) {
                doubt.unheard(true);
            }
            other(ofLife, state, false, now);
        } else if (state == State.ALIVE && anIncarnation >= incarnation) {
            is(life, anIncarnation);
            doubt.unheard(false);
        } else if (state.isGone() && anIncarnation < incarnation && now - answeredAt > REFUTATION_SPREAD_NANOS) {
            doubt.unheard(true); // the refutation has not reached the other members
        } else if (state != State.ALIVE && anIncarnation >= incarnation) {
            answeredAt = now;
            if (state.isGone()) {
                doubt.unheard(true);
            }
            if (anIncarnation >= Members.MAX_INCARNATION) {
                lives(life + 1);
            } else {
                is(life, anIncarnation + 1);
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
    void spokenBy(long ofLife, long now) {
        other(ofLife, State.ALIVE, true, now);
    }

    /**
     * Handles a different life under this router's name: either an earlier process whose clock was ahead, or a second
     * process that is still running.
     *
     * @param speaks whether the other life itself sent a message, as opposed to a claim by another router
     */
    private void other(long ofLife, State state, boolean speaks, long now) {
        boolean over = state.isGone(); // the process of that life has ended
        if (ofLife > life && (over || !raised && now - startedAt < LIFE_RAISE_NANOS)) {
            raised = true;
            lives(ofLife + 1);
        } else if (ofLife > life || speaks && ofLife != life) {
            twice = true;
            if (twiceToldAt == 0 || now - twiceToldAt > Members.DUPLICATE_NAME_REPORT_NANOS) {
                twiceToldAt = now;
                sink.changed(new Change(
                        Kind.TWICE, settings.name(), settings.number(), "life=" + life + " other_life=" + ofLife));
            }
        }
    }

    /** Continues in a later life. */
    private void lives(long later) {
        is(later, 0);
        sequence = 0;
    }

    /** Sets the life and incarnation and updates the digest of the present members, which includes them. */
    private void is(long aLife, int anIncarnation) {
        roster.fold(self, life, incarnation);
        life = aLife;
        incarnation = anIncarnation;
        roster.fold(self, life, incarnation);
    }
}
