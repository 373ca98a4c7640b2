package slateseam.router.useragent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.net.Slots;

/**
 * The connections of user agents, which speak RESP2. Answers of a connection go out in the order of its commands; what the
 * commands mean is told by the dialect of the listener that it came to.
 */
public final class RespFront {
    private static final int MOST_COMMANDS = 16;
    /** For a first command, or one of which a part has come: no user agent that waits for an answer takes so long. */
    private static final long COMMAND_NANOS = 2_500 * Clock.MILLI;
    /** Without an open request, while there is room; user agents that come back sooner keep their connection. */
    private static final long IDLE_NANOS = 15_000 * Clock.MILLI;
    /** For the other side to end, after the last answer. */
    private static final long LINGER_NANOS = 1_000 * Clock.MILLI;
    /** For want of room a connection goes that has been idle so long, or has said nothing for so long from its start. */
    private static final long LEAST_IDLE_NANOS = 250 * Clock.MILLI;
    private static final long LEAST_SILENT_NANOS = 50 * Clock.MILLI;

    /** What a connection waits for; each has its deadline. */
    private enum State { FIRST_COMMAND, REST_OF_COMMAND, ANSWER, READER, NEXT_COMMAND, END }

    private final Loop loop;
    private final Slots<UserAgent> userAgents;
    /** Of the longest class: an answer that is not read by then is of no use to anyone. */
    private final long readNanos;
    private final List<Runnable> whenClosed = new ArrayList<>();
    private boolean closing;

    /** Creates the front for at most so many connections, whatever listener they come to. */
    public RespFront(Loop loop, long longestAnswerNanos, int mostConnections) {
        this.loop = loop;
        this.readNanos = longestAnswerNanos;
        this.userAgents = new Slots<>(mostConnections);
    }

    /** How many connections are open. */
    public int connections() {
        return userAgents.size();
    }

    /** Calls back after each close of a connection; further ones too. */
    public void onClose(Runnable action) {
        whenClosed.add(action);
    }

    /** The gate of a listener whose commands are of a dialect. */
    public Acceptor.Gate gate(Dialect dialect) {
        return new Acceptor.Gate() {
            @Override
            public boolean makeRoom() {
                return RespFront.this.makeRoom();
            }

            @Override
            public void accept(SocketChannel channel) throws IOException {
                RespFront.this.accept(channel, dialect);
            }

            @Override
            public void onRoom(Runnable action) {
                onClose(action);
            }
        };
    }

    /**
     * Whether a connection can be taken. Guards against user agents that hold connections without a request: for want of
     * room one that has been answered and is about to end goes first, then the one that has said nothing for longest,
     * then the one that has been idle for longest.
     */
    private boolean makeRoom() {
        if (userAgents.isFull()) {
            List<UserAgent> spare = userAgents.all().stream().filter(UserAgent::isSpare).sorted(Comparator
                    .comparing((UserAgent u) -> u.state == State.END ? 0 : u.state == State.FIRST_COMMAND ? 1 : 2)
                    .thenComparing(u -> u.since)).toList();
            for (UserAgent u : spare) {
                if (!userAgents.isFull()) {
                    break;
                }
                u.giveWay();
            }
        }
        return !userAgents.isFull();
    }

    /** Takes a connection, whose commands are of a dialect. */
    private void accept(SocketChannel channel, Dialect dialect) throws IOException {
        try {
            UserAgent userAgent = new UserAgent(channel, dialect);
            userAgent.ticket = userAgents.add(userAgent);
            userAgent.enter(State.FIRST_COMMAND);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Closes every connection as soon as it stands between requests. */
    public void close() {
        closing = true;
        userAgents.all().forEach(UserAgent::closeWhenDone);
    }

    /** Closes those that have not read for longest while there is too much that nobody reads, lest it fill the heap. */
    private void boundUnread() {
        List<UserAgent> unread = userAgents.all().stream().filter(u -> u.state == State.READER)
                .sorted(Comparator.comparingLong(u -> u.since)).toList();
        long bytes = unread.stream().mapToLong(UserAgent::unwrittenBytes).sum();
        for (UserAgent u : unread) {
            if (bytes <= loop.heapBytes() / 8) {
                return;
            }
            bytes -= u.unwrittenBytes();
            u.overstayed();
        }
    }

    /** One connection of a user agent. */
    private final class UserAgent extends Connection {
        private final Dialect dialect;
        private final Deque<Exchange> inOrder = new ArrayDeque<>();
        /** How many commands the exchanges have taken. */
        private int begun;
        private long ticket;
        private boolean last;
        /** Whether a part of a command has come and the rest has not. */
        private boolean half;
        private State state;
        private long since;
        private Deadline limit;

        UserAgent(SocketChannel channel, Dialect dialect) throws IOException {
            super(RespFront.this.loop, channel);
            this.dialect = dialect;
        }

        @Override
        protected void received(ByteBuffer in) throws MalformedException {
            while (!isClosed() && mayBegin() && isFlushed()) {
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
         * Whether a command may be begun; one that belongs to what has begun always may. In a planned end all may: those
         * that waited for the ones ahead of them would be cut off at its end without an answer.
         */
        private boolean mayBegin() {
            return !last && (begun < MOST_COMMANDS || isPartial() || closing);
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
            enter(!isFlushed() ? State.READER : !answered && inOrder.peek().isWhole() ? State.ANSWER
                    : answered && first ? State.FIRST_COMMAND : half || !answered ? State.REST_OF_COMMAND
                    : State.NEXT_COMMAND);
        }

        void enter(State next) {
            if (next == state) {
                return;
            }
            state = next;
            since = loop().now();
            loop().cancel(limit);
            limit = switch (next) {
                case ANSWER -> null; // the core has a deadline for it
                case FIRST_COMMAND, REST_OF_COMMAND -> loop().after(COMMAND_NANOS, this::overstayed);
                case READER -> loop().after(readNanos, this::overstayed);
                case NEXT_COMMAND -> loop().after(IDLE_NANOS, this::overstayed);
                case END -> loop().after(LINGER_NANOS, this::overstayed);
            };
        }

        /** Guards against connections that are held by half a command, by silence, or by not reading. */
        private void overstayed() {
            if ((half || isPartial()) && state != State.READER && state != State.END) {
                malformed(new MalformedException("the rest of a command did not come"));
            } else {
                if (state == State.READER) {
                    loop().log().line("user-agent-stuck", "answers were not read; the connection was closed");
                }
                breakOff();
            }
        }

        boolean isSpare() {
            long spent = loop().now() - since;
            return state == State.END || state == State.FIRST_COMMAND && !half && spent >= LEAST_SILENT_NANOS
                    || state == State.NEXT_COMMAND && spent >= LEAST_IDLE_NANOS;
        }

        /** Closes a spare connection, unless it turns out that a command has come. */
        void giveWay() {
            poll();
            if (isSpare()) {
                breakOff();
            }
        }

        private void take(List<ByteBuffer> command) throws MalformedException {
            if (!isPartial()) {
                inOrder.add(dialect.exchange(this::flushAnswers));
            }
            begun++;
            settle();
            try {
                inOrder.peekLast().take(command);
            } catch (MalformedException e) {
                inOrder.pollLast().withdraw(); // its one answer is the error
                throw e;
            }
            flushAnswers();
        }

        void flushAnswers() {
            while (!inOrder.isEmpty() && inOrder.peek().answer() != null) {
                Exchange done = inOrder.poll();
                begun -= done.commands();
                write(done.answer());
                done.handedOver();
            }
            settle();
            if (state == State.READER) {
                boundUnread();
            }
            closeWhenDone();
        }

        @Override
        protected void written() {
            settle();
            if (mayBegin()) {
                pause(false);
            }
            closeWhenDone();
        }

        /** Closes between requests; a little later, as commands may lie behind the one just answered. */
        void closeWhenDone() {
            if (closing || last) {
                loop().after(0, () -> {
                    if (inOrder.isEmpty() && isFlushed() && !isClosed()) {
                        if (last) {
                            enter(State.END);
                            linger();
                        } else if (!hasInput()) {
                            breakOff();
                        }
                    }
                });
            }
        }

        @Override
        protected void malformed(MalformedException e) {
            loop().log().line("user-agent-malformed", e.getMessage());
            last = true;
            half = false;
            pause(true);
            if (isPartial()) {
                inOrder.pollLast().withdraw();
            }
            inOrder.add(Exchange.answered(Replies.line("-ERR protocol error: " + e.getMessage())));
            flushAnswers();
        }

        @Override
        protected void broken() {
            forget();
            inOrder.forEach(Exchange::withdraw);
            inOrder.clear();
        }

        private void forget() {
            loop().cancel(limit);
            userAgents.remove(ticket);
            whenClosed.forEach(Runnable::run);
        }
    }
}
