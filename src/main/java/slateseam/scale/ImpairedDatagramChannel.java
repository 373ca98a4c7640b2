package slateseam.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.NetworkInterface;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.MembershipKey;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;
import java.util.function.BiConsumer;

/** A hollow router's socket for datagrams: what it sends, and what real routers send to it, fares as the {@link Impairments} say. */
final class ImpairedDatagramChannel extends DatagramChannel {
    private final DatagramChannel system;
    private final Impairments impairments;
    private final BiConsumer<Long, Runnable> later;
    private int router;

    ImpairedDatagramChannel(
            SelectorProvider provider,
            DatagramChannel system,
            Impairments impairments,
            BiConsumer<Long, Runnable> later) {
        super(provider);
        this.system = system;
        this.impairments = impairments;
        this.later = later;
    }

    DatagramChannel system() {
        return system;
    }

    @Override
    public DatagramChannel bind(SocketAddress local) throws IOException {
        system.bind(local);
        router = impairments.number(local);
        return this;
    }

    @Override
    public int send(ByteBuffer from, SocketAddress target) throws IOException {
        int length = from.remaining();
        if (!impairments.passes(router, impairments.number(target), from.get(from.position()), length)) {
            from.position(from.limit());
            return length;
        }
        long delay = impairments.delayNanos(router);
        if (delay == 0) {
            return system.send(from, target);
        }
        later.accept(delay, () -> sendLate(from, target));
        return length;
    }

    private void sendLate(ByteBuffer from, SocketAddress target) {
        try {
            if (system.isOpen()) {
                system.send(from, target);
            }
        } catch (IOException e) {
            // One more that is lost.
        }
    }

    @Override
    public SocketAddress receive(ByteBuffer into) throws IOException {
        int begin = into.position();
        while (true) {
            SocketAddress from = system.receive(into);
            if (from == null) {
                return null;
            }
            int sender = impairments.number(from);
            // What hollow routers send was looked at as it was sent.
            boolean fromReal = impairments.counts(sender) != null;
            if (into.position() > begin
                    && (!fromReal || impairments.passes(sender, router, into.get(begin), into.position() - begin))) {
                return from;
            }
            into.position(begin);
        }
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        system.close();
    }

    @Override
    protected void implConfigureBlocking(boolean blocks) throws IOException {
        system.configureBlocking(blocks);
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return system.getLocalAddress();
    }

    @Override
    public <T> DatagramChannel setOption(SocketOption<T> name, T value) throws IOException {
        system.setOption(name, value);
        return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
        return system.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return system.supportedOptions();
    }

    @Override
    public DatagramSocket socket() {
        return system.socket();
    }

    @Override
    public boolean isConnected() {
        return false;
    }

    @Override
    public DatagramChannel connect(SocketAddress remote) {
        throw new UnsupportedOperationException("a router's socket for datagrams is never connected");
    }

    @Override
    public DatagramChannel disconnect() {
        return this;
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return null;
    }

    @Override
    public int read(ByteBuffer into) {
        throw new UnsupportedOperationException("a router's socket for datagrams is never connected");
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) {
        throw new UnsupportedOperationException("a router's socket for datagrams is never connected");
    }

    @Override
    public int write(ByteBuffer from) {
        throw new UnsupportedOperationException("a router's socket for datagrams is never connected");
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) {
        throw new UnsupportedOperationException("a router's socket for datagrams is never connected");
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface by) {
        throw new UnsupportedOperationException("no multicast");
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface by, InetAddress source) {
        throw new UnsupportedOperationException("no multicast");
    }
}
