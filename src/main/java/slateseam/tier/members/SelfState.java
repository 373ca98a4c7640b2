package slateseam.tier.members;

import slateseam.tier.members.Change.Kind;

/** This router's own name in the tier: which life and incarnation of it this is, and what others say of it. */
final class SelfState {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    /** After its start a router may still take a later life than its clock gave it. */
    private static final long YOUNG_NANOS = 3 * SECOND;
    /** An answer to a suspicion should have come to all by then. */
    private static final long UNHEARD_NANOS = 2 * SECOND;

    private final MembersSettings settings;
    private final long self;
    private final long startedAt;
    private final Roster roster;
    private final LocalHealth doubt;
    private final MembersPort sink;
    private long life;
    private int incarnation;
    private int sequence;
    /** When it last answered a suspicion of itself. */
    private long answeredAt;

    private boolean raised;
    private boolean twice;
    private long twiceToldAt;

    /** Begins a life: the milliseconds of its start. */
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

    long life() {
        return life;
    }

    int incarnation() {
        return incarnation;
    }

    /** The number of the next message. */
    int next() {
        return ++sequence;
    }

    boolean isTwice() {
        return twice;
    }

    /** Takes what others say of it; whether that was a suspicion that it answers now, as a later incarnation. */
    boolean told(long ofLife, int anIncarnation, State state, long now) {
        if (ofLife != life) {
            // They do not know this life, though it has been told for long.
            if (ofLife < life && state.isGone() && now - startedAt > UNHEARD_NANOS) {
                doubt.unheard(true);
            }
            other(ofLife, state, false, now);
        } else if (state == State.ALIVE && anIncarnation >= incarnation) {
            is(life, anIncarnation);
            doubt.unheard(false);
        } else if (state.isGone() && anIncarnation < incarnation && now - answeredAt > UNHEARD_NANOS) {
            doubt.unheard(true); // what it answered has not come to anybody
        } else if (state != State.ALIVE && anIncarnation >= incarnation) {
            answeredAt = now;
            if (state.isGone()) {
                doubt.unheard(true);
            }
            if (anIncarnation >= Members.MOST_INCARNATIONS) {
                lives(life + 1);
            } else {
                is(life, anIncarnation + 1);
            }
            return true;
        }
        return false;
    }

    /** A message came by its own name. */
    void spokenBy(long ofLife, long now) {
        other(ofLife, State.ALIVE, true, now);
    }

    /** Another life by its name: an earlier one of a clock that was ahead, or another process. */
    private void other(long ofLife, State state, boolean speaks, long now) {
        boolean over = state.isGone(); // whoever lived it is there no longer
        if (ofLife > life && (over || !raised && now - startedAt < YOUNG_NANOS)) {
            raised = true;
            lives(ofLife + 1);
        } else if (ofLife > life || speaks && ofLife != life) {
            twice = true;
            if (twiceToldAt == 0 || now - twiceToldAt > Members.TWICE_AGAIN_NANOS) {
                twiceToldAt = now;
                sink.changed(new Change(
                        Kind.TWICE, settings.name(), settings.number(), "life=" + life + " other_life=" + ofLife));
            }
        }
    }

    private void lives(long later) {
        is(later, 0);
        sequence = 0;
    }

    /** The digest of who is there has this router's own life and incarnation in it. */
    private void is(long aLife, int anIncarnation) {
        roster.fold(self, life, incarnation);
        life = aLife;
        incarnation = anIncarnation;
        roster.fold(self, life, incarnation);
    }
}
