package slateseam.router.useragent;

import java.io.IOException;
import java.net.StandardSocketOptions;
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
import slateseam.router.net.MessageMemory;
import slateseam.router.net.Resp;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;

/** One connection of a user agent. Answers are sent in the order of the commands. */
final class UserAgent extends Connection implements Exchange.Pipeline {
    /** A streamed value is not read further while this many bytes wait to be handed to the operating system. */
    private static final int MAX_UNWRITTEN_BYTES = 64 * 1024;
    /** There is always room for answers of this size, among them all errors. */
    private static final int SMALL_ANSWER_BYTES = 1024;

    /** Maximum number of commands that are in progress at a time on one connection. */
    private static final int MAX_COMMANDS = 16;
    /**
     * Maximum number of commands taken in one round of the loop, however quickly they are answered; further commands
     * wait for the next round.
     */
    private static final int MAX_COMMANDS_PER_ROUND = 64;
    /**
     * Maximum number of bytes read ahead behind commands in progress: the longest command. Reading ahead detects that
     * the user agent has closed the connection; no further command is begun then.
     */
    private static final int MAX_READ_AHEAD_BYTES = MESSAGE_LIMIT;
    /**
     * The same behind a streamed value once nothing ahead can begin any more, and less than any command: the connection
     * ends if the value breaks off, and then only commands that were not read are sent again.
     */
    private static final int MAX_READ_AHEAD_BYTES_BEHIND_STREAM = 1;
    /**
     * How long a first command, or the rest of a partly received command, may take: longer than any user agent that
     * waits for an answer needs to send it.
     */
    private static final long COMMAND_TIMEOUT_NANOS = 2_500 * Clock.MILLI;
    /** How long a new connection may take to send its first command while connections are not kept. */
    private static final long FIRST_COMMAND_GRACE_NANOS = 250 * Clock.MILLI;
    /**
     * How long a user agent may take none of its answers. It cannot be seen to read before it has made room for a segment,
     * which is up to 64 KiB of its buffer.
     */
    private static final long UNREAD_TIMEOUT_NANOS = 30_000 * Clock.MILLI;
    /**
     * What the system buffers for one connection, in bytes. By default it takes up to 4 MiB, and more only when a third of
     * that is free again, so that a slow reader cannot be told from one that has stopped.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    /** How long the user agent may take to close the connection after the last answer. */
    private static final long LINGER_TIMEOUT_NANOS = 1_000 * Clock.MILLI;

    /** What a connection waits for; each state but ANSWER has its own deadline. */
    private enum State {
        FIRST_COMMAND(Phase.SILENT),
        REST_OF_COMMAND(Phase.HALF),
        ANSWER(Phase.BUSY),
        UNREAD_ANSWER(Phase.BUSY),
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
    private int commandsInProgress;

    private long ticket;
    private Kept kept;
    private boolean takesNoMore;
    /** Whether the connection ends as soon as everything that was read has been answered. */
    private boolean finishing;
    /** Whether part of a command has arrived and the rest has not. */
    private boolean hasPartialCommand;
    /** Whether commands that have arrived wait for the next round of the loop. */
    private boolean yields;

    private State state;
    private long since;
    private Deadline deadline;
    /** Why the connection ends; {@link Cause#LEFT} unless this side ends it. */
    private Cause cause = Cause.LEFT;
    /**
     * Whether this side ended the connection between requests: bytes that arrive afterwards were sent before that
     * was seen.
     */
    private boolean endedIdle;
    /** The delivery of the first exchange's value; null if none is being delivered. */
    private ValueDelivery delivery;
    /** The current maximum number of bytes that are read ahead. */
    private int readAheadBytes = MAX_READ_AHEAD_BYTES;
    /** What the exchanges in progress have reserved for their answers, in bytes. */
    private long reservedBytes;
    /** What the memory of messages counts for this connection, in bytes. */
    private long countedBytes;
    /** When the operating system last took bytes of an answer, on the loop's clock, in nanoseconds. */
    private long progressedAt;

    UserAgent(RespFront front, Loop loop, SocketChannel channel, Dialect dialect) throws IOException {
        super(loop, channel, MAX_READ_AHEAD_BYTES);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        this.front = front;
        this.dialect = dialect;
    }

    void begin(long newTicket, Kept newKept) {
        ticket = newTicket;
        kept = newKept;
        enter(State.FIRST_COMMAND);
        closeWhenDone(); // applies to silent connections too, while connections are not kept
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        for (int taken = 0; !isClosed() && mayBegin() && isFlushed(); taken++) {
            if (taken == MAX_COMMANDS_PER_ROUND && in.hasRemaining()) {
                continueNextRound();
                return;
            }
            List<ByteBuffer> command = Resp.command(in);
            if (command == null) {
                hasPartialCommand = in.hasRemaining();
                updateState();
                closeWhenDone();
                return;
            }
            hasPartialCommand = false;
            take(command);
        }
        hasPartialCommand = false; // what is left may be whole commands
        pause(true);
    }

    /**
     * Continues in the next round of the loop, so that a user agent that pipelines many commands does not delay
     * others.
     */
    private void continueNextRound() {
        yields = true;
        updateState();
        pause(true);
        loop().nextRound(() -> {
            yields = false;
            resume();
        });
    }

    /**
     * Returns whether a command may be begun. A command that belongs to an exchange in progress always may. During a
     * planned shutdown there is no limit: commands that waited for earlier ones would be cut off without an answer
     * at its end.
     */
    private boolean mayBegin() {
        return !takesNoMore
                && !isStreaming()
                && (commandsInProgress < maxCommands() || isPartial() || front.isClosing());
    }

    /** Returns whether the last exchange has a streamed value that is not whole yet. */
    private boolean isStreaming() {
        return !inOrder.isEmpty() && inOrder.peekLast().stream() != null;
    }

    /** Returns whether no command has been read behind an exchange. */
    private boolean isLast(Exchange exchange) {
        boolean hasReadCommand = inputBytes() > MAX_READ_AHEAD_BYTES_BEHIND_STREAM && !hasPartialCommand;
        return inOrder.peekLast() == exchange && !hasReadCommand;
    }

    /** Returns whether a request of the connection has no answer yet, so that a further attempt may be made for it. */
    private boolean awaitsAnswer() {
        return inOrder.stream().anyMatch(exchange -> exchange.answer() == null);
    }

    /**
     * Reads ahead, to see the end of the connection, as long as a request has no answer yet. Otherwise what comes behind
     * a streamed value stays unread until the value is whole.
     */
    private void updateReadAhead() {
        boolean leavesUnread = isStreaming() && !awaitsAnswer();
        int bytes = leavesUnread ? MAX_READ_AHEAD_BYTES_BEHIND_STREAM : MAX_READ_AHEAD_BYTES;
        if (bytes != readAheadBytes && !takesNoMore) {
            readAheadBytes = bytes;
            limitReadAhead(bytes);
        }
    }

    @Override
    public boolean isPresent() {
        return isSeenOpen();
    }

    /** While memory is short, no answer is fetched that would have to wait for an earlier one. */
    private int maxCommands() {
        return loop().memory().isShort() ? 1 : MAX_COMMANDS;
    }

    /** Returns whether the last exchange waits for more commands. */
    private boolean isPartial() {
        return !inOrder.isEmpty() && !inOrder.peekLast().isWhole();
    }

    /** Enters the state that follows from the exchanges, the input and the output of the connection. */
    private void updateState() {
        if (state == State.END || isClosed()) {
            return;
        }
        boolean first = state == State.FIRST_COMMAND; // kept until a whole command has arrived
        boolean answered = inOrder.isEmpty();
        enter(
                !isFlushed()
                        ? State.UNREAD_ANSWER
                        : yields || !answered && inOrder.peek().isWhole()
                                ? State.ANSWER
                                : answered && first
                                        ? State.FIRST_COMMAND
                                        : hasPartialCommand || !answered ? State.REST_OF_COMMAND : State.NEXT_COMMAND);
    }

    private void enter(State next) {
        // Reported even if the state is unchanged: part of a first command may have arrived since.
        front.room()
                .enters(kept, next == State.FIRST_COMMAND && hasPartialCommand ? Phase.HALF : next.phase, loop().now());
        if (next == state) {
            return;
        }
        state = next;
        since = loop().now();
        loop().cancel(deadline);
        deadline = switch (next) {
            case ANSWER -> null; // the core has its own deadline, or the next round takes the waiting commands
            case FIRST_COMMAND, REST_OF_COMMAND -> loop().after(COMMAND_TIMEOUT_NANOS, this::deadlinePassed);
            case UNREAD_ANSWER -> loop().after(unreadNanos(), this::deadlinePassed);
            case NEXT_COMMAND -> loop().after(front.room().mostIdleNanos(), this::deadlinePassed);
            case END -> loop().after(LINGER_TIMEOUT_NANOS, this::deadlinePassed);
        };
        if (next == State.NEXT_COMMAND) {
            front.scheduleSurplusCheck();
        }
    }

    /**
     * Called when the deadline of the current state has passed. Guards against connections that are held by a
     * partial command, by silence, or by not reading answers. Bytes still unread in the operating system are read
     * first, so that a command that arrived just before the deadline is served.
     */
    void deadlinePassed() {
        long stillMayStop = Math.max(since, progressedAt) + unreadNanos() - loop().now();
        if (state == State.UNREAD_ANSWER && stillMayStop > 0) {
            deadline = loop().after(stillMayStop, this::deadlinePassed);
        } else if (state == State.UNREAD_ANSWER) {
            loop().log().line("user-agent-stuck", "user agent did not read its answers in time; connection closed");
            closeNow(Cause.UNREAD);
        } else if (state == State.END) {
            closeNow();
        } else {
            Deadline due = deadline;
            poll();
            if (isClosed() || deadline != due) {
                return; // the read has changed the state
            }
            if (hasPartialCommand || isPartial()) {
                endPartialCommand();
            } else {
                endBetweenRequests(Cause.STALE);
            }
        }
    }

    /** Returns how long a user agent may read nothing: it is no use to anybody then, and holds connections. */
    private long unreadNanos() {
        return Math.max(UNREAD_TIMEOUT_NANOS, front.readNanos());
    }

    /** Reads what has arrived since the selector last reported. Returns whether nothing has. */
    private boolean isQuiet() {
        Deadline before = deadline;
        poll();
        return !isClosed() && deadline == before && !hasPartialCommand;
    }

    /** Ends a surplus connection, unless a command turns out to have arrived on it. */
    void endIfQuiet() {
        if (isQuiet()) {
            endBetweenRequests(Cause.ROOM);
        }
    }

    /** Closes the connection at once. */
    void closeNow() {
        breakOff();
    }

    private void closeNow(Cause why) {
        cause = why;
        breakOff();
    }

    /** Ends a connection on which part of a command has arrived and the rest has not. */
    void endPartialCommand() {
        malformed(new MalformedException("the rest of a command did not come"));
    }

    /**
     * Shuts down the output between requests and reads on until the user agent closes too. With a plain close, a
     * command already under way would be answered with a reset, and its user agent could not tell whether the
     * command was read.
     */
    private void endBetweenRequests(Cause why) {
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
            inOrder.add(dialect.exchange(this));
        }
        commandsInProgress++;
        updateState();
        try {
            Exchange current = inOrder.peekLast();
            current.take(command);
            current.setDueAt(loop().now() + current.waitNanos());
            if (current.tenant() >= 0) {
                front.room().asksFor(kept, current.tenant());
            }
        } catch (MalformedException e) {
            withdraw(inOrder.pollLast()); // the error is the only answer of the exchange
            throw e;
        }
        flushAnswers();
    }

    private void flushAnswers() {
        while (delivery == null && !inOrder.isEmpty() && inOrder.peek().answer() != null && !isClosed()) {
            Exchange first = inOrder.peek();
            if (first.stream() == null) {
                write(first.answer());
                handedOver();
            } else {
                delivery = new ValueDelivery(loop(), new FirstInOrder(first), first.stream(), first.answer()[0]);
                delivery.begin(first.dueAt());
            }
        }
        updateState();
        resume();
        closeWhenDone();
    }

    /** Receives the streamed value of the first exchange. */
    private final class FirstInOrder implements ValueDelivery.Receiver {
        private final Exchange first;

        FirstInOrder(Exchange first) {
            this.first = first;
        }

        @Override
        public void send(ByteBuffer... bytes) {
            write(bytes);
            countMemory();
            updateState(); // a user agent that stops reading within a long answer has a deadline too
        }

        @Override
        public boolean hasSentAll() {
            return isFlushed();
        }

        @Override
        public boolean takesMore(int waitingBytes) {
            return loop().memory().isShort() ? isFlushed() : unwrittenBytes() + waitingBytes < MAX_UNWRITTEN_BYTES;
        }

        @Override
        public boolean hasCommandsBehind() {
            return !isLast(first);
        }

        @Override
        public boolean reserve(int bytes) {
            return loop().memory().hasRoomToWait(bytes) && first.reserve(bytes);
        }

        @Override
        public void release(int bytes) {
            first.release(bytes);
            reservedBytes -= bytes;
            countMemory();
        }

        @Override
        public void delivered() {
            endOfStream(Replies.end());
        }

        @Override
        public void failed() {
            endOfStream(Replies.of(new Answer.Failed()));
        }

        @Override
        public void brokenOff() {
            endWithinValue();
        }
    }

    /** Takes commands again once there is nothing to wait for. */
    private void resume() {
        if (mayBegin() && !yields && isFlushed()) {
            pause(false);
        }
    }

    /** Sends the rest of an answer, and reads again what the user agent sends, its end behind that first of all. */
    private void endOfStream(ByteBuffer... rest) {
        delivery = null;
        write(rest);
        handedOver();
        updateReadAhead();
        flushAnswers();
    }

    private void handedOver() {
        Exchange done = inOrder.poll();
        commandsInProgress -= done.commands();
        done.handedOver();
        release(done);
    }

    @Override
    public void answered() {
        updateReadAhead();
        if (isStreaming()) {
            hasPartialCommand &= readAheadBytes < MAX_READ_AHEAD_BYTES; // else its rest is read unseen
            pause(true);
        }
        flushAnswers();
    }

    @Override
    public boolean reserve(Exchange exchange, long bytes) {
        MessageMemory memory = loop().memory();
        boolean goesOutAtOnce = inOrder.peek() == exchange && isFlushed() && bytes <= LONG_VALUE;
        boolean room =
                bytes <= SMALL_ANSWER_BYTES || (goesOutAtOnce ? memory.hasRoom(bytes) : memory.hasRoomToWait(bytes));
        if (room) {
            reservedBytes += bytes;
            countMemory();
        } else {
            loop().log().line("answer-dropped", "no room for an answer of " + bytes + " bytes; its request fails");
        }
        return room;
    }

    private void release(Exchange exchange) {
        reservedBytes -= exchange.release();
        countMemory();
    }

    private void withdraw(Exchange exchange) {
        exchange.withdraw();
        release(exchange);
    }

    /** Counts what this connection holds of answers: those that wait, and those that the system has not taken. */
    private void countMemory() {
        long bytes = reservedBytes + retainedBytes();
        loop().memory().countAnswers(bytes - countedBytes);
        countedBytes = bytes;
    }

    @Override
    protected void progressed() {
        progressedAt = loop().now();
        countMemory();
    }

    /**
     * Ends the connection, which tells the user agent that the value is incomplete. The connection ends after the
     * bytes already queued, as these may contain earlier answers to a user agent that reads slowly.
     */
    private void endWithinValue() {
        takeNoMore(Cause.CUT);
        withdrawAll();
        updateState();
        closeWhenDone();
    }

    @Override
    protected void written() {
        if (delivery != null) {
            delivery.resume();
        }
        updateState();
        resume();
        closeWhenDone();
    }

    /**
     * Closes the connection if it is to end and is between requests. Closes in a later event of the loop, as further
     * commands may follow the one just answered.
     */
    void closeWhenDone() {
        if (front.isClosing() || takesNoMore) {
            long graceNanos =
                    state == State.FIRST_COMMAND && !takesNoMore ? since + FIRST_COMMAND_GRACE_NANOS - loop().now() : 0;
            if (graceNanos > 0) {
                // Waits for a first command that may be under way: its user agent would have to connect again.
                loop().after(graceNanos, this::closeWhenDone);
                return;
            }
            loop().after(0, this::closeIfDone);
        }
    }

    private void closeIfDone() {
        if (isClosed() || state == State.END || !front.isClosing() && !takesNoMore) {
            return; // or the shutdown was revoked in the meantime
        }
        if (finishing && isPartial() && !hasUnansweredInput()) {
            withdraw(inOrder.pollLast()); // its rest is not waited for
        }
        if (!isDone()) {
            return;
        }
        if (takesNoMore) {
            front.room().ends(kept, cause, loop().now());
            enter(State.END);
            linger();
        } else if (finishing ? !hasUnansweredInput() : !hasInput() && isQuiet()) {
            endBetweenRequests(Cause.PLANNED);
        }
    }

    /** Returns whether whole commands may have been read that have not been begun. */
    private boolean hasUnansweredInput() {
        return yields || hasInput() && !hasPartialCommand;
    }

    /** Begins all commands that wait for earlier ones, and closes the connection once it is between requests. */
    void leave() {
        resume();
        closeWhenDone();
    }

    /**
     * Ends the connection as soon as everything that was read is answered and sent, also if further commands come; the
     * user agent sends those again to another router.
     */
    void finish() {
        finishing = true;
        leave();
    }

    /** Returns whether the connection has neither a request in progress nor an answer to send. */
    boolean isDone() {
        return inOrder.isEmpty() && isFlushed();
    }

    private void takeNoMore(Cause why) {
        cause = why;
        takesNoMore = true;
        hasPartialCommand = false;
        if (!isStreaming()) {
            ignoreInput(); // behind a streamed value it is left unread, as its user agent is to send it again
        }
        if (isPartial()) {
            withdraw(inOrder.pollLast());
        }
    }

    @Override
    protected void malformed(MalformedException e) {
        loop().log().line("user-agent-malformed", e.getMessage());
        takeNoMore(Cause.MALFORMED);
        inOrder.add(Exchange.answered(this, Replies.line("-ERR protocol error: " + e.getMessage())));
        flushAnswers();
    }

    @Override
    protected void broken() {
        loop().cancel(deadline);
        front.forget(ticket, kept, cause);
        withdrawAll();
        countMemory();
    }

    /** Withdraws all exchanges in progress; none of them is answered. */
    private void withdrawAll() {
        if (delivery != null) {
            delivery.cancel();
            delivery = null;
        }
        for (Exchange exchange : inOrder) {
            if (exchange.stream() != null) {
                exchange.stream().stop(Ending.LEFT);
            }
        }
        inOrder.forEach(this::withdraw);
        inOrder.clear();
    }
}
