package slateseam.standin.useragent;

import slateseam.standin.Party;
import slateseam.standin.Wire;
import slateseam.standin.useragent.UserAgent.Attempt;

/** One connection of a process; it carries one request at a time. */
final class Channel implements Party {
    /** For the other side to take the end, and for answers that come late. */
    private static final long LATE_NANOS = 5_000_000_000L;

    private enum State {
        CONNECTING,
        FREE,
        BUSY,
        LATE,
        LEFT_OPEN,
        CLOSED
    }

    private final UserAgent owner;
    private final String router;
    private final AnswerReader reader = new AnswerReader();
    private Wire wire;
    private State state = State.CONNECTING;
    /** Whom the next answer is for; also while a late one is waited for. */
    private Attempt attempt;

    Channel(UserAgent owner, String router) {
        this.owner = owner;
        this.router = router;
    }

    String router() {
        return router;
    }

    /** Connects for an attempt, which is written when the connection is up. */
    void open(Attempt first) {
        attempt = first;
        wire = owner.surroundings().net().connect(owner.figures().address(), router, this);
    }

    /** Carries an attempt. */
    void carry(Attempt next) {
        state = State.BUSY;
        attempt = next;
        wire.write(next.command(this));
    }

    @Override
    public void opened(Wire opened) {
        if (state == State.CLOSED) {
            return;
        }
        if (attempt.isOver()) {
            release(); // its time was over before the connection was up
        } else {
            carry(attempt);
        }
    }

    @Override
    public void received(Wire from, byte[] bytes) {
        if (state == State.CLOSED) {
            return;
        }
        if (state != State.BUSY && state != State.LATE) {
            owner.unasked(this);
            close(false);
            return;
        }
        for (Answer answer : reader.take(bytes)) {
            if (state != State.BUSY && state != State.LATE) {
                owner.unasked(this); // a second answer behind the one that was asked for
                close(false);
                return;
            }
            Attempt done = attempt;
            attempt = null;
            if (answer.kind() == Answer.Kind.UNREADABLE) {
                close(true);
            } else {
                release();
            }
            done.answered(answer);
        }
    }

    /** The answer is there: the connection is free, or of no more use, as the habits are. */
    private void release() {
        switch (owner.surroundings().habits().connections()) {
            case REUSED -> {
                if (reader.isHalf()) {
                    owner.unasked(this); // more has come than was asked for
                    close(false);
                } else {
                    state = State.FREE;
                    owner.freed(this);
                }
            }
            case ONCE -> close(true);
            default -> {
                state = State.LEFT_OPEN;
                owner.closed(this);
            }
        }
    }

    /** The attempt is given up: the late answer is waited for, or the connection is ended or broken off. */
    void giveUp(boolean waits, boolean breaks) {
        if (state != State.BUSY) {
            return;
        }
        if (waits) {
            state = State.LATE;
            owner.clock().at(owner.clock().now() + LATE_NANOS, () -> {
                if (state == State.LATE) {
                    close(true);
                }
            });
        } else {
            close(!breaks);
        }
    }

    private void close(boolean inOrder) {
        if (state == State.CLOSED) {
            return;
        }
        if (inOrder) {
            wire.end();
        } else {
            wire.reset();
        }
        forget();
    }

    private void forget() {
        boolean counted = state != State.LEFT_OPEN;
        state = State.CLOSED;
        if (counted) {
            owner.closed(this);
        }
    }

    @Override
    public void ended(Wire from) {
        if (state == State.CLOSED) {
            return;
        }
        // An end before any byte of the answer has crossed the request, or the router lost what it had taken.
        gone(state == State.BUSY && !reader.isHalf());
        from.end();
    }

    @Override
    public void broken(Wire from) {
        if (state != State.CLOSED) {
            gone(false);
        }
    }

    private void gone(boolean crossed) {
        State before = state;
        Attempt out = attempt;
        attempt = null;
        forget();
        if (out != null && before == State.CONNECTING) {
            out.unreachable();
        } else if (out != null && before == State.BUSY) {
            out.lost(crossed);
        }
    }
}
