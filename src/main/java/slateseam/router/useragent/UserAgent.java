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

/** One connection of a user agent. Answers are sent in the order of the commands. */
final class UserAgent extends Connection implements Incoming.Taker {
    /** A streamed value is not read further while this many bytes wait to be handed to the operating system. */
    private static final int MOST_UNWRITTEN = 64 * 1024;

    /** Maximum number of commands that are in progress at a time on one connection. */
    private static final int MOST_COMMANDS = 16;
    /**
     * Maximum number of commands taken in one round of the loop, however quickly they are answered; further commands
     * wait for the next round.
     */
    private static final int MOST_IN_A_ROW = 64;
    /**
     * Maximum number of bytes read ahead behind commands in progress. Reading ahead detects that the user agent has
     * closed the connection; no further command is begun then.
     */
    private static final int AHEAD = 256 * 1024;
    /**
     * How long a first command, or the rest of a partly received command, may take: longer than any user agent that
     * waits for an answer needs to send it.
     */
    private static final long COMMAND_NANOS = 2_500 * Clock.MILLI;
    /** How long a new connection may take to send its first command while connections are not kept. */
    private static final long FIRST_NANOS = 250 * Clock.MILLI;
    /** How long the user agent may take to close the connection after the last answer. */
    private static final long LINGER_NANOS = 1_000 * Clock.MILLI;

    /** What a connection waits for; each state has its own deadline. */
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
    /** The number of commands taken by the exchanges in progress. */
    private int begun;

    private long ticket;
    private Kept kept;
    private boolean last;
    /** Whether part of a command has arrived and the rest has not. */
    private boolean half;
    /** Whether commands that have arrived wait for the next round of the loop. */
    private boolean yields;

    private State state;
    private long since;
    private Deadline limit;
    /** Why the connection ends; {@link Cause#LEFT} unless this side ends it. */
    private Cause cause = Cause.LEFT;
    /**
     * Whether this side ended the connection between requests: bytes that arrive afterwards were sent before that
     * was seen.
     */
    private boolean endedIdle;
    /** The value being streamed behind the head of the first answer; null if none is. */
    private Incoming flowing;
    /** How many bytes had been handed to the operating system at the last check of the reading progress. */
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
        closeWhenDone(); // applies to silent connections too, while connections are not kept
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

    /**
     * Continues in the next round of the loop, so that a user agent that pipelines many commands does not delay
     * others.
     */
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
     * Returns whether a command may be begun. A command that belongs to an exchange in progress always may. During a
     * planned shutdown there is no limit: commands that waited for earlier ones would be cut off without an answer
     * at its end.
     */
    private boolean mayBegin() {
        return !last && (begun < MOST_COMMANDS || isPartial() || front.isClosing());
    }

    /** Returns whether the last exchange waits for more commands. */
    private boolean isPartial() {
        return !inOrder.isEmpty() && !inOrder.peekLast().isWhole();
    }

    /** Enters the state that follows from the exchanges, the input and the output of the connection. */
    private void settle() {
        if (state == State.END || isClosed()) {
            return;
        }
        boolean first = state == State.FIRST_COMMAND; // kept until a whole command has arrived
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
        // Reported even if the state is unchanged: part of a first command may have arrived since.
        front.room().enters(kept, next == State.FIRST_COMMAND && half ? Phase.HALF : next.phase, loop().now());
        if (next == state) {
            return;
        }
        state = next;
        since = loop().now();
        loop().cancel(limit);
        limit = switch (next) {
            case ANSWER -> null; // the core has its own deadline, or the next round takes the waiting commands
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
     * Called when the deadline of the current state has passed. Guards against connections that are held by a
     * partial command, by silence, or by not reading answers. Bytes still unread in the operating system are read
     * first, so that a command that arrived just before the deadline is served.
     */
    void overstayed() {
        if (state == State.READER && handedBytes() != handed) {
            // A user agent that reads a long value slowly is stuck only when it takes nothing at all.
            handed = handedBytes();
            limit = loop().after(front.readNanos(), this::overstayed);
        } else if (state == State.READER) {
            loop().log().line("user-agent-stuck", "user agent did not read its answers in time; connection closed");
            cutShort(Cause.UNREAD);
        } else if (state == State.END) {
            cutShort();
        } else {
            Deadline due = limit;
            poll();
            if (isClosed() || limit != due) {
                return; // the read has changed the state
            }
            if (half || isPartial()) {
                giveUpRest();
            } else {
                endQuietly(Cause.STALE);
            }
        }
    }

    /** Reads what has arrived since the selector last reported. Returns whether nothing has. */
    private boolean isQuiet() {
        Deadline before = limit;
        poll();
        return !isClosed() && limit == before && !half;
    }

    /** Ends a surplus connection, unless a command turns out to have arrived on it. */
    void giveWay() {
        if (isQuiet()) {
            endQuietly(Cause.ROOM);
        }
    }

    /** Closes the connection at once. */
    void cutShort() {
        breakOff();
    }

    private void cutShort(Cause why) {
        cause = why;
        breakOff();
    }

    /** Ends a connection on which part of a command has arrived and the rest has not. */
    void giveUpRest() {
        malformed(new MalformedException("the rest of a command did not come"));
    }

    /**
     * Shuts down the output between requests and reads on until the user agent closes too. With a plain close, a
     * command already under way would be answered with a reset, and its user agent could not tell whether the
     * command was read.
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
            inOrder.pollLast().withdraw(); // the error is the only answer of the exchange
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
        // A user agent that stops reading within a long answer has a deadline too, and its unread bytes count against
        // the
        // limit.
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
     * Ends the connection, which tells the user agent that the value is incomplete. The connection ends after the
     * bytes already queued, as these may contain earlier answers to a user agent that reads slowly.
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

    /**
     * Closes the connection if it is to end and is between requests. Closes in a later event of the loop, as further
     * commands may follow the one just answered.
     */
    void closeWhenDone() {
        if (front.isClosing() || last) {
            long young = state == State.FIRST_COMMAND && !last ? since + FIRST_NANOS - loop().now() : 0;
            if (young > 0) {
                // Waits for a first command that may be under way: its user agent would have to connect again.
                loop().after(young, this::closeWhenDone);
                return;
            }
            loop().after(0, () -> {
                if (!front.isClosing() && !last) {
                    return; // the shutdown was revoked in the meantime
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

    /** Takes no further command; the user agent sends later commands again to another router. */
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

    /** Withdraws all exchanges in progress; none of them is answered. */
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
