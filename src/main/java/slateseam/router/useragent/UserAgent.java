package slateseam.router.useragent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import slateseam.router.connections.useragents.Cause;
import slateseam.router.connections.useragents.Kept;
import slateseam.router.connections.useragents.Phase;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.request.Incoming;

/** One connection of a user agent. Its answers go out in the order of its commands. */
final class UserAgent extends Connection implements Incoming.Taker {
    /** Of a value that streams: no more is asked for while so much is not handed to the system. */
    private static final int MOST_UNWRITTEN = 64 * 1024;

    private static final int MOST_COMMANDS = 16;
    /** Of commands that are taken in one go, however quickly each is answered: what lies behind them waits a round. */
    private static final int MOST_IN_A_ROW = 64;
    /** Of what comes behind commands that wait, so that the end of its user agent is seen: then nothing is begun any more. */
    private static final int AHEAD = 256 * 1024;
    /** For a first command, or one of which a part has come: no user agent that waits for an answer takes so long. */
    private static final long COMMAND_NANOS = 2_500 * Clock.MILLI;
    /** For a first command, where connections are not kept. */
    private static final long FIRST_NANOS = 250 * Clock.MILLI;
    /** For the other side to end, after the last answer. */
    private static final long LINGER_NANOS = 1_000 * Clock.MILLI;

    /** What a connection waits for; each has its deadline. */
    private enum State {
        FIRST_COMMAND(Phase.SILENT),
        REST_OF_COMMAND(Phase.HALF),
        ANSWER(Phase.BUSY),
        READER(Phase.BUSY),
        NEXT_COMMAND(Phase.IDLE),
        END(Phase.ENDING);

        private final Phase phase;

        State(Phase phase) {
            this.phase = phase;
        }
    }

    private final RespFront front;
    private final Dialect dialect;
    private final Deque<Exchange> inOrder = new ArrayDeque<>();
    /** How many commands the exchanges have taken. */
    private int begun;

    private long ticket;
    private Kept kept;
    private boolean last;
    /** Whether a part of a command has come and the rest has not. */
    private boolean half;
    /** Whether commands that have come wait for the loop's next round. */
    private boolean yields;

    private State state;
    private long since;
    private Deadline limit;
    /** Why it ends, if it was not the user agent that ended it. */
    private Cause cause = Cause.LEFT;
    /** Whether it was ended between requests: what comes now crossed that. */
    private boolean endedIdle;
    /** The value that streams behind the answer that is first; null where none does. */
    private Incoming flowing;
    /** How much had been handed to the system when its reading was last looked at. */
    private long handed;

    UserAgent(RespFront front, Loop loop, SocketChannel channel, Dialect dialect) throws IOException {
        super(loop, channel, AHEAD);
        this.front = front;
        this.dialect = dialect;
    }

    void begin(long ticketOfIt, Kept keptAs) {
        ticket = ticketOfIt;
        kept = keptAs;
        enter(State.FIRST_COMMAND);
        closeWhenDone(); // where none is kept, not even one that stays silent
    }

    long since() {
        return since;
    }

    boolean isUnread() {
        return state == State.READER;
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        for (int taken = 0; !isClosed() && mayBegin() && isFlushed(); taken++) {
            if (taken == MOST_IN_A_ROW && in.hasRemaining()) {
                letOthersGoFirst();
                return;
            }
            List<ByteBuffer> command = Resp.command(in);
            if (command == null) {
                half = in.hasRemaining();
                settle();
                return;
            }
            half = false;
            take(command);
        }
        pause(true);
    }

    /** Goes on in the next round. Guards others against one that sends very many commands at once. */
    private void letOthersGoFirst() {
        yields = true;
        settle();
        pause(true);
        loop().nextRound(() -> {
            yields = false;
            if (mayBegin() && isFlushed()) {
                pause(false);
            }
        });
    }

    /**
     * Whether a command may be begun; one that belongs to what has begun always may. In a planned end all may: those
     * that waited for the ones ahead of them would be cut off at its end without an answer.
     */
    private boolean mayBegin() {
        return !last && (begun < MOST_COMMANDS || isPartial() || front.isClosing());
    }

    /** Whether the last exchange waits for more commands. */
    private boolean isPartial() {
        return !inOrder.isEmpty() && !inOrder.peekLast().isWhole();
    }

    /** Enters the state that it is in now. */
    private void settle() {
        if (state == State.END || isClosed()) {
            return;
        }
        boolean first = state == State.FIRST_COMMAND; // it stays so until a whole command has come
        boolean answered = inOrder.isEmpty();
        enter(
                !isFlushed()
                        ? State.READER
                        : yields || !answered && inOrder.peek().isWhole()
                                ? State.ANSWER
                                : answered && first
                                        ? State.FIRST_COMMAND
                                        : half || !answered ? State.REST_OF_COMMAND : State.NEXT_COMMAND);
    }

    private void enter(State next) {
        // Told each time: of a first command the half may have come since.
        front.room().enters(kept, next == State.FIRST_COMMAND && half ? Phase.HALF : next.phase, loop().now());
        if (next == state) {
            return;
        }
        state = next;
        since = loop().now();
        loop().cancel(limit);
        limit = switch (next) {
            case ANSWER -> null; // the core has a deadline for it, or the next round takes what waits
            case FIRST_COMMAND, REST_OF_COMMAND -> loop().after(COMMAND_NANOS, this::overstayed);
            case READER -> loop().after(front.readNanos(), this::overstayed);
            case NEXT_COMMAND -> loop().after(front.room().mostIdleNanos(), this::overstayed);
            case END -> loop().after(LINGER_NANOS, this::overstayed);
        };
        if (next == State.NEXT_COMMAND) {
            front.lookSoon();
        }
    }

    /**
     * Guards against connections that are held by half a command, by silence, or by not reading. What lies unread in the
     * system is looked at first: a command that came just before the deadline is one like any other.
     */
    void overstayed() {
        if (state == State.READER && handedBytes() != handed) {
            // Guards those that read a long value slowly: they are stuck only when they take nothing at all.
            handed = handedBytes();
            limit = loop().after(front.readNanos(), this::overstayed);
        } else if (state == State.READER) {
            loop().log().line("user-agent-stuck", "answers were not read; the connection was closed");
            cutShort(Cause.UNREAD);
        } else if (state == State.END) {
            cutShort();
        } else {
            Deadline due = limit;
            poll();
            if (isClosed() || limit != due) {
                return; // it waits for something else now
            }
            if (half || isPartial()) {
                giveUpRest();
            } else {
                endQuietly(Cause.STALE);
            }
        }
    }

    /** Looks whether anything has come since the selector last told; whether nothing has. */
    private boolean isQuiet() {
        Deadline before = limit;
        poll();
        return !isClosed() && limit == before && !half;
    }

    /** Ends a spare connection, unless it turns out that a command has come. */
    void giveWay() {
        if (isQuiet()) {
            endQuietly(Cause.ROOM);
        }
    }

    /** Cuts one short that is ending, or of no more use. */
    void cutShort() {
        breakOff();
    }

    private void cutShort(Cause why) {
        cause = why;
        breakOff();
    }

    /** Guards against those that hold a connection by half a command. */
    void giveUpRest() {
        malformed(new MalformedException("the rest of a command did not come"));
    }

    /**
     * Ends the sending between requests and reads on until the user agent ends too. Guards a command that crosses this: a
     * plain close would answer it with a reset, and its user agent could not tell whether it was read.
     */
    private void endQuietly(Cause why) {
        cause = why;
        endedIdle = true;
        front.room().ends(kept, why, loop().now());
        enter(State.END);
        linger();
    }

    @Override
    protected void discarded() {
        if (endedIdle) {
            endedIdle = false;
            front.room().crossed();
        }
    }

    private void take(List<ByteBuffer> command) throws MalformedException {
        if (!isPartial()) {
            inOrder.add(dialect.exchange(this::flushAnswers));
        }
        begun++;
        settle();
        try {
            Exchange current = inOrder.peekLast();
            current.take(command);
            if (current.tenant() >= 0) {
                front.room().asksFor(kept, current.tenant());
            }
        } catch (MalformedException e) {
            inOrder.pollLast().withdraw(); // its one answer is the error
            throw e;
        }
        flushAnswers();
    }

    private void flushAnswers() {
        while (flowing == null && !inOrder.isEmpty() && inOrder.peek().answer() != null && !isClosed()) {
            Exchange first = inOrder.peek();
            write(first.answer());
            if (first.stream() != null) {
                flowing = first.stream();
                flowing.to(this);
            } else {
                handedOver();
            }
        }
        settle();
        if (state == State.READER) {
            front.boundUnread();
        }
        closeWhenDone();
    }

    private void handedOver() {
        Exchange done = inOrder.poll();
        begun -= done.commands();
        done.handedOver();
    }

    @Override
    public void bytes(ByteBuffer bytes) {
        ByteBuffer kept = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
        write(kept);
        // Guards against one that stops reading within a long answer: it has a deadline too, and counts against the
        // bound.
        settle();
        if (state == State.READER) {
            front.boundUnread();
        }
    }

    @Override
    public boolean wantsMore() {
        return unwrittenBytes() < MOST_UNWRITTEN;
    }

    @Override
    public void whole() {
        flowing = null;
        write(Replies.end());
        handedOver();
        flushAnswers();
    }

    /**
     * The user agent can tell by the end of its connection that the value is not whole. That end comes behind what is written
     * already: answers ahead of the value may wait there for a user agent that reads slowly.
     */
    @Override
    public void cut() {
        takeNoMore(Cause.CUT);
        withdrawAll();
        settle();
        closeWhenDone();
    }

    @Override
    protected void written() {
        if (flowing != null) {
            flowing.more();
        }
        settle();
        if (mayBegin() && !yields) {
            pause(false);
        }
        closeWhenDone();
    }

    /** Closes between requests; a little later, as commands may lie behind the one just answered. */
    void closeWhenDone() {
        if (front.isClosing() || last) {
            long young = state == State.FIRST_COMMAND && !last ? since + FIRST_NANOS - loop().now() : 0;
            if (young > 0) {
                // Guards a first command that is on its way: its user agent would have to come once more.
                loop().after(young, this::closeWhenDone);
                return;
            }
            loop().after(0, () -> {
                if (!front.isClosing() && !last) {
                    return; // taken back meanwhile
                }
                if (inOrder.isEmpty() && isFlushed() && !isClosed() && state != State.END) {
                    if (last) {
                        front.room().ends(kept, cause, loop().now());
                        enter(State.END);
                        linger();
                    } else if (!hasInput() && isQuiet()) {
                        endQuietly(Cause.PLANNED);
                    }
                }
            });
        }
    }

    /** Takes no further command: what comes now its user agent sends once more, elsewhere. */
    void finish() {
        if (state != State.END && !last) {
            takeNoMore(Cause.PLANNED);
            closeWhenDone();
        }
    }

    private void takeNoMore(Cause why) {
        cause = why;
        last = true;
        half = false;
        ignoreInput();
        if (isPartial()) {
            inOrder.pollLast().withdraw();
        }
    }

    @Override
    protected void malformed(MalformedException e) {
        loop().log().line("user-agent-malformed", e.getMessage());
        takeNoMore(Cause.MALFORMED);
        inOrder.add(Exchange.answered(Replies.line("-ERR protocol error: " + e.getMessage())));
        flushAnswers();
    }

    @Override
    protected void broken() {
        loop().cancel(limit);
        front.forget(ticket, kept, cause);
        withdrawAll();
    }

    /** Nothing more is answered here. */
    private void withdrawAll() {
        flowing = null;
        for (Exchange exchange : inOrder) {
            if (exchange.stream() != null) {
                exchange.stream().stop();
            }
        }
        inOrder.forEach(Exchange::withdraw);
        inOrder.clear();
    }
}
