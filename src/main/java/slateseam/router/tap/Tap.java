package slateseam.router.tap;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import slateseam.router.config.Features;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Lines;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Slots;
import slateseam.router.request.Ending;
import slateseam.router.request.Names;
import slateseam.router.request.RequestObserver;
import slateseam.router.useragent.Acceptor;

/** Requests as they end, one line each, for whoever connects and says which ones. */
public final class Tap implements RequestObserver, Acceptor.Gate {
    private static final int LONGEST_FILTER = 512;
    private static final long FILTER_NANOS = 2_500 * Clock.MILLI;
    /** For a watcher that is turned away to read why, and to end. */
    private static final long LINGER_NANOS = 1_000 * Clock.MILLI;
    /** What the system holds back beside the watcher's buffer, so that a watcher that has stopped is found out soon. */
    private static final int MOST_SYSTEM_BYTES = 64 * 1024;

    private final Loop loop;
    private final Names names;
    private final Lines out;
    private final int bufferBytes;
    private final int mostWatchers;
    private final SplittableRandom random;
    /** Those that watch, and as many again that are being turned away. */
    private final Slots<Watcher> watchers;

    private final Acceptor acceptor;

    /** Listens at an address, which another process of this router may share; what it writes itself goes to {@code out}. */
    public Tap(
            Features.Tap settings,
            Loop loop,
            InetSocketAddress listen,
            boolean shared,
            Names names,
            Lines out,
            long seed)
            throws IOException {
        this.loop = loop;
        this.names = names;
        this.out = out;
        this.bufferBytes = settings.bufferBytes();
        this.mostWatchers = settings.mostWatchers();
        this.random = new SplittableRandom(seed);
        this.watchers = new Slots<>(2 * mostWatchers);
        this.acceptor = new Acceptor(loop, listen, this, shared);
        acceptor.begin();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /** Takes no further watcher; those that there are see the last requests. */
    public void close() throws IOException {
        acceptor.close();
    }

    @Override
    public boolean makeRoom() {
        return true; // one too many is told so
    }

    @Override
    public void accept(SocketChannel channel) throws IOException {
        if (watchers.isFull()) {
            channel.close();
            return;
        }
        long watching = watchers.all().stream().filter(w -> !w.refused).count();
        Watcher watcher;
        try {
            channel.setOption(StandardSocketOptions.SO_SNDBUF, Math.min(bufferBytes, MOST_SYSTEM_BYTES));
            watcher = new Watcher(channel);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        if (watching >= mostWatchers) {
            watcher.refuse("-ERR too many watchers");
        }
    }

    @Override
    public void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos) {
        if (watchers.size() == 0) {
            return;
        }
        byte[] line = null;
        for (Watcher watcher : watchers.all()) {
            if (watcher.wants(tenant, requestClass)) {
                line = line != null
                        ? line
                        : (loop.now() / Clock.MILLI + " t=" + names.tenants().get(tenant) + " c="
                                        + names.classes().get(requestClass) + " key=" + Names.key(key) + " out="
                                        + ending.word()
                                        + " ms=" + nanos / Clock.MILLI + "\n")
                                .getBytes(StandardCharsets.UTF_8);
                watcher.show(line);
            }
        }
    }

    /** One connection: its filter line first, then nothing but lines to it. */
    private final class Watcher extends Connection {
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private final long ticket;
        /** Until its filter has come, or until it goes. */
        private Deadline limit;

        private Filter filter;
        private boolean refused;
        private boolean sending;

        Watcher(SocketChannel channel) throws IOException {
            super(Tap.this.loop, channel);
            ticket = watchers.add(this);
            limit = loop().after(FILTER_NANOS, () -> refuse("-ERR filter"));
        }

        @Override
        protected void received(ByteBuffer in) {
            if (filter == null) {
                readFilter(in);
            }
            if (filter != null) {
                in.position(in.limit()); // what stands behind the filter is thrown away
            }
        }

        private void readFilter(ByteBuffer in) {
            int end = in.position();
            while (end < in.limit() && in.get(end) != '\n') {
                end++;
            }
            boolean whole = end < in.limit();
            if (!whole && in.remaining() <= LONGEST_FILTER) {
                return;
            }
            filter = whole && end - in.position() <= LONGEST_FILTER
                    ? Filter.parse(text(in.slice(in.position(), end - in.position())), names)
                    : null;
            if (filter == null) {
                refuse("-ERR filter");
            } else {
                loop().cancel(limit);
            }
        }

        private static String text(ByteBuffer bytes) {
            return StandardCharsets.UTF_8.decode(bytes).toString();
        }

        void refuse(String why) {
            refused = true;
            write(ByteBuffer.wrap(Bytes.of(why + "\r\n")));
            linger();
            loop().cancel(limit);
            limit = loop().after(LINGER_NANOS, this::breakOff);
        }

        boolean wants(int tenant, int requestClass) {
            return filter != null
                    && filter.wants(tenant, requestClass)
                    && (filter.sample() == 1 || random.nextDouble() < filter.sample());
        }

        /** Guards the heap and the other watchers against one that does not read: it is cut as soon as its buffer is full. */
        void show(byte[] line) {
            if (buffer.size() + unwrittenBytes() + line.length > bufferBytes) {
                out.line("tap watcher cut: slow");
                breakOff();
                return;
            }
            buffer.writeBytes(line);
            sendSoon();
        }

        /** All lines of a round go out in one write. */
        private void sendSoon() {
            if (!sending) {
                sending = true;
                loop().after(0, this::send);
            }
        }

        private void send() {
            sending = false;
            if (isFlushed() && buffer.size() > 0) {
                byte[] lines = buffer.toByteArray();
                buffer.reset();
                write(ByteBuffer.wrap(lines));
            }
        }

        @Override
        protected void written() {
            if (buffer.size() > 0) {
                sendSoon();
            }
        }

        @Override
        protected void malformed(MalformedException e) {
            refuse("-ERR filter");
        }

        @Override
        protected void broken() {
            loop().cancel(limit);
            watchers.remove(ticket);
        }
    }
}
