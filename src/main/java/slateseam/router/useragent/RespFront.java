package slateseam.router.useragent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Tenant;
import slateseam.router.core.Answer;
import slateseam.router.core.Core;
import slateseam.router.core.Facts;
import slateseam.router.core.Request;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.net.Slots;

/** The platform's protocol, RESP2, towards user agents. Answers of a connection go out in the order of its commands. */
public final class RespFront implements Front {
    private static final int MOST_EXCHANGES = 16;
    private static final int READ_ITEMS = 4;
    private static final int WRITE_ITEMS = 5;
    /** For a first command, or one of which a part has come: no user agent that waits for an answer takes so long. */
    private static final long COMMAND_NANOS = 2_500 * Clock.MILLI;
    /** Without an open request, while there is room; user agents that come back sooner keep their connection. */
    private static final long IDLE_NANOS = 15_000 * Clock.MILLI;
    /** For the other side to end, after the last answer. */
    private static final long LINGER_NANOS = 1_000 * Clock.MILLI;
    /** For want of room a connection goes that has been idle so long, or has said nothing for so long from its start. */
    private static final long LEAST_IDLE_NANOS = 250 * Clock.MILLI;
    private static final long LEAST_SILENT_NANOS = 50 * Clock.MILLI;
    /** Of answers that are not read, so that they cannot fill the heap. */
    private static final long MOST_UNREAD = Runtime.getRuntime().maxMemory() / 8;
    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");
    private static final byte DELETE = 0x7f;
    private static final byte[] PONG = Bytes.of("+PONG\r\n");
    private static final byte[] OK = Bytes.of("+OK\r\n");
    private static final byte[] FAILED = Bytes.of("-ERR failed\r\n");
    private static final byte[] LINE_END = Bytes.of("\r\n");

    /** A command and its answer, which waits for those ahead of it. */
    private static final class Exchange {
        final UserAgent from;
        long number = -1;
        long request = -1;
        /** The request's id while it is open. */
        ByteBuffer id;
        ByteBuffer[] answer;

        Exchange(UserAgent from) {
            this.from = from;
        }
    }

    /** What a connection waits for; each has its deadline. */
    private enum State { FIRST_COMMAND, REST_OF_COMMAND, ANSWER, READER, NEXT_COMMAND, END }

    private final Loop loop;
    private final Core core;
    private final List<String> classes;
    private final List<String> tenants;
    private final Settings settings;
    private final Slots<UserAgent> userAgents;
    private final Slots<Exchange> exchanges;
    /** The ids of the requests that are owed an answer; they are held as long as those are, and no longer. */
    private final Set<ByteBuffer> openIds = new HashSet<>();
    /** Of the longest class: an answer that is not read by then is of no use to anyone. */
    private final long readNanos;
    private Runnable whenClosed = () -> { };
    private boolean closing;

    /** Creates the front for at most so many connections; the core holds at most so many requests. */
    public RespFront(Loop loop, Core core, Settings settings, int mostConnections, int mostHeld) {
        this.loop = loop;
        this.core = core;
        this.settings = settings;
        this.classes = settings.classes().stream().map(RequestClass::name).toList();
        this.tenants = settings.tenants().stream().map(Tenant::name).toList();
        this.readNanos = settings.longestAnswerNanos();
        this.userAgents = new Slots<>(mostConnections);
        this.exchanges = new Slots<>(mostHeld + 1); // the one more is being turned away
    }

    /** Whether no connection is open. */
    public boolean isEmpty() {
        return userAgents.size() == 0;
    }

    /** Calls back after each close of a connection. */
    public void onClose(Runnable action) {
        whenClosed = action;
    }

    /**
     * Whether a connection can be taken. Guards against user agents that hold connections without a request: for want of
     * room one that has been answered and is about to end goes first, then the one that has said nothing for longest,
     * then the one that has been idle for longest.
     */
    public boolean makeRoom() {
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

    /** Takes a connection. */
    public void accept(SocketChannel channel) throws IOException {
        try {
            UserAgent userAgent = new UserAgent(channel);
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

    @Override
    public void answer(long exchange, Answer answer) {
        Exchange done = exchanges.remove(exchange);
        if (done != null) {
            openIds.remove(done.id);
            done.answer = bytes(answer);
            done.from.flushAnswers();
        }
    }

    /** Closes those that have not read for longest while there is too much that nobody reads. */
    private void boundUnread() {
        List<UserAgent> unread = userAgents.all().stream().filter(u -> u.state == State.READER)
                .sorted(Comparator.comparingLong(u -> u.since)).toList();
        long bytes = unread.stream().mapToLong(UserAgent::unwrittenBytes).sum();
        for (UserAgent u : unread) {
            if (bytes <= MOST_UNREAD) {
                return;
            }
            bytes -= u.unwrittenBytes();
            u.overstayed();
        }
    }

    private static ByteBuffer[] bytes(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return new ByteBuffer[] {ByteBuffer.wrap(Bytes.of("$" + served.value().length + "\r\n")),
                    ByteBuffer.wrap(served.value()), ByteBuffer.wrap(LINE_END)};
        }
        if (answer instanceof Answer.Unavailable unavailable) {
            long millis = Clock.millisUp(unavailable.retryAfterNanos());
            return line(Bytes.of(millis > 0 ? "-BUSY " + millis + "\r\n" : "-BUSY\r\n"));
        }
        return line(FAILED);
    }

    private static ByteBuffer[] line(byte[] text) {
        return new ByteBuffer[] {ByteBuffer.wrap(text)};
    }

    /** One connection of a user agent. */
    private final class UserAgent extends Connection {
        private final Deque<Exchange> inOrder = new ArrayDeque<>();
        private long ticket;
        private boolean last;
        /** Whether a part of a command has come and the rest has not. */
        private boolean half;
        private State state;
        private long since;
        private Deadline limit;

        UserAgent(SocketChannel channel) throws IOException {
            super(RespFront.this.loop, channel);
        }

        @Override
        protected void received(ByteBuffer in) throws MalformedException {
            while (!isClosed() && !last && inOrder.size() < MOST_EXCHANGES && isFlushed()) {
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

        /** Enters the state that it is in now. */
        private void settle() {
            if (state == State.END || isClosed()) {
                return;
            }
            boolean first = state == State.FIRST_COMMAND; // it stays so until a whole command has come
            enter(!isFlushed() ? State.READER : !inOrder.isEmpty() ? State.ANSWER : first ? State.FIRST_COMMAND
                    : half ? State.REST_OF_COMMAND : State.NEXT_COMMAND);
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
            if (half && state != State.READER && state != State.END) {
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

        private void take(List<ByteBuffer> command) {
            Exchange exchange = new Exchange(this);
            inOrder.add(exchange);
            settle();
            String name = Bytes.text(command.get(0)).toUpperCase(Locale.ROOT);
            boolean write = name.equals("CACHE.SET");
            switch (name) {
                case "CACHE.GET", "CACHE.SET" -> {
                    if (command.size() == (write ? WRITE_ITEMS : READ_ITEMS)) {
                        request(exchange, command, write);
                    } else {
                        exchange.answer = line(Bytes.of("-ERR wrong number of arguments\r\n"));
                    }
                }
                case "PING" -> exchange.answer = line(PONG);
                case "CLIENT", "SELECT" -> exchange.answer = line(OK);
                default -> exchange.answer = line(Bytes.of("-ERR unknown command\r\n"));
            }
            flushAnswers();
        }

        private void request(Exchange exchange, List<ByteBuffer> command, boolean write) {
            byte[] facts = Bytes.copy(command.get(3));
            byte[] key = Bytes.copy(command.get(1));
            byte[] id = Bytes.copy(command.get(2));
            if (!isPlain(key) || !isPlain(id) || !isPlain(facts)) {
                exchange.answer = line(Bytes.of("-ERR a key, id or fact is no visible ASCII\r\n"));
                return;
            }
            ByteBuffer open = ByteBuffer.wrap(id);
            // Guards against two requests of one id, of which neither's answer could be told from the other's.
            if (openIds.contains(open)) {
                exchange.answer = line(Bytes.of("-ERR a request with this id is open\r\n"));
                return;
            }
            int requestClass = classes.indexOf(Facts.value(facts, 'c'));
            long waitMillis = millis(Facts.value(facts, 'd'));
            if (requestClass < 0 || waitMillis < 0) {
                exchange.answer = line(Bytes.of("-ERR unknown class or no time to wait\r\n"));
                return;
            }
            int tenant = tenants.indexOf(Facts.value(facts, 't'));
            long ttl = Math.min(waitMillis * Clock.MILLI, settings.classes().get(requestClass).deadlineNanos());
            Request request = new Request(key, id, facts, write ? Bytes.copy(command.get(4)) : null, requestClass,
                    tenant < 0 ? tenants.size() : tenant, "1".equals(Facts.value(facts, 'r')), ttl);
            exchange.number = exchanges.add(exchange);
            exchange.id = open;
            openIds.add(open);
            exchange.request = core.arrived(request, RespFront.this, exchange.number);
        }

        void flushAnswers() {
            while (!inOrder.isEmpty() && inOrder.peek().answer != null) {
                write(inOrder.poll().answer);
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
            if (inOrder.size() < MOST_EXCHANGES && !last) {
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
            Exchange refused = new Exchange(this);
            refused.answer = line(Bytes.of("-ERR protocol error: " + e.getMessage() + "\r\n"));
            inOrder.add(refused);
            flushAnswers();
        }

        @Override
        protected void broken() {
            forget();
            for (Exchange exchange : inOrder) {
                if (exchanges.remove(exchange.number) != null) {
                    openIds.remove(exchange.id);
                    core.left(exchange.request);
                }
            }
            inOrder.clear();
        }

        private void forget() {
            loop().cancel(limit);
            userAgents.remove(ticket);
            whenClosed.run();
        }

        /** Guards the origin's HTTP head, into which these are written. */
        private boolean isPlain(byte[] text) {
            for (byte b : text) {
                if (b <= ' ' || b == DELETE) {
                    return false;
                }
            }
            return text.length > 0;
        }

        /** A number of milliseconds; -1 if it is none. */
        private long millis(String digits) {
            return digits != null && MILLIS.matcher(digits).matches() ? Long.parseLong(digits) : -1;
        }
    }
}
