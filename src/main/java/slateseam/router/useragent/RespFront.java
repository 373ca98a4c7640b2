package slateseam.router.useragent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
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
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.net.Slots;

/** The platform's protocol, RESP2, towards user agents. Answers of a connection go out in the order of its commands. */
public final class RespFront implements Front {
    private static final int MOST_EXCHANGES = 16;
    private static final int READ_ITEMS = 4;
    private static final int WRITE_ITEMS = 5;
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
        ByteBuffer[] answer;

        Exchange(UserAgent from) {
            this.from = from;
        }
    }

    private final Loop loop;
    private final Core core;
    private final List<String> classes;
    private final List<String> tenants;
    private final Settings settings;
    private final Slots<UserAgent> userAgents;
    private final Slots<Exchange> exchanges;
    private Runnable whenClosed = () -> { };
    private boolean closing;

    /** Creates the front for at most so many connections; the core holds at most so many requests. */
    public RespFront(Loop loop, Core core, Settings settings, int mostConnections, int mostHeld) {
        this.loop = loop;
        this.core = core;
        this.settings = settings;
        this.classes = settings.classes().stream().map(RequestClass::name).toList();
        this.tenants = settings.tenants().stream().map(Tenant::name).toList();
        this.userAgents = new Slots<>(mostConnections);
        this.exchanges = new Slots<>(mostHeld + 1); // the one more is being turned away
    }

    /** Whether no further connection can be taken. */
    public boolean isFull() {
        return userAgents.isFull();
    }

    /** Whether no connection is open. */
    public boolean isEmpty() {
        return userAgents.size() == 0;
    }

    /** Calls back after each close of a connection. */
    public void onClose(Runnable action) {
        whenClosed = action;
    }

    /** Takes a connection. */
    public void accept(SocketChannel channel) throws IOException {
        try {
            UserAgent userAgent = new UserAgent(channel);
            userAgent.ticket = userAgents.add(userAgent);
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
            done.answer = bytes(answer);
            done.from.flushAnswers();
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

        UserAgent(SocketChannel channel) throws IOException {
            super(RespFront.this.loop, channel);
        }

        @Override
        protected void received(ByteBuffer in) throws MalformedException {
            while (!isClosed() && !last && inOrder.size() < MOST_EXCHANGES && isFlushed()) {
                List<ByteBuffer> command = Resp.command(in);
                if (command == null) {
                    return;
                }
                take(command);
            }
            pause(true);
        }

        private void take(List<ByteBuffer> command) {
            Exchange exchange = new Exchange(this);
            inOrder.add(exchange);
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
            exchange.request = core.arrived(request, RespFront.this, exchange.number);
        }

        void flushAnswers() {
            while (!inOrder.isEmpty() && inOrder.peek().answer != null) {
                write(inOrder.poll().answer);
            }
            closeWhenDone();
        }

        @Override
        protected void written() {
            if (inOrder.size() < MOST_EXCHANGES && !last) {
                pause(false);
            }
            closeWhenDone();
        }

        /** Closes between requests; a little later, as commands may lie behind the one just answered. */
        void closeWhenDone() {
            if (closing || last) {
                loop().after(0, () -> {
                    if (inOrder.isEmpty() && isFlushed() && (last || !hasInput()) && !isClosed()) {
                        close();
                        forget();
                    }
                });
            }
        }

        @Override
        protected void malformed(MalformedException e) {
            loop().log().line("user-agent-malformed", e.getMessage());
            last = true;
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
                    core.left(exchange.request);
                }
            }
            inOrder.clear();
        }

        private void forget() {
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
