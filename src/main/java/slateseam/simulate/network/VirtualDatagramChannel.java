package slateseam.simulate.network;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NetworkInterface;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AlreadyBoundException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.MembershipKey;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;

/** A program's channel for datagrams, never connected. What comes while much lies unread is lost. */
final class VirtualDatagramChannel extends DatagramChannel implements VirtualChannel {
    private static final int LONGEST = 65_507;
    private static final int MOST_UNREAD = 212_992;

    private record Letter(InetSocketAddress sender, byte[] bytes) {}

    private final VirtualProvider process;
    private final Readiness readiness = new Readiness();
    private final Queue<Letter> unread = new ArrayDeque<>();
    private int unreadBytes;
    /** Null while it is not bound. */
    private InetSocketAddress local;

    VirtualDatagramChannel(VirtualProvider process) {
        super(process);
        this.process = process;
        readiness.set(SelectionKey.OP_WRITE, true);
        process.opened(this);
    }

    @Override
    public Readiness readiness() {
        return readiness;
    }

    @Override
    public DatagramChannel bind(SocketAddress address) throws IOException {
        checkOpen();
        if (local != null) {
            throw new AlreadyBoundException();
        }
        Machine machine = process.machine();
        InetSocketAddress asked = (InetSocketAddress) address;
        if (asked != null && process.net().find(machine, asked) != machine) {
            throw new BindException("Cannot assign requested address");
        }
        int port = asked != null && asked.getPort() > 0 ? asked.getPort() : machine.takePort();
        if (port < 0 || machine.datagrams.containsKey(port)) {
            throw new BindException("Address already in use");
        }
        local = new InetSocketAddress(machine.address, port);
        machine.datagrams.put(port, this);
        return this;
    }

    @Override
    public int send(ByteBuffer source, SocketAddress target) throws IOException {
        checkOpen();
        if (source.remaining() > LONGEST) {
            throw new SocketException("Message too long");
        }
        if (local == null) {
            bind(null);
        }
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        process.net().post().send(process.machine(), local, (InetSocketAddress) target, bytes);
        return bytes.length;
    }

    @Override
    public SocketAddress receive(ByteBuffer target) throws IOException {
        checkOpen();
        Letter next = unread.poll();
        if (next == null) {
            return null;
        }
        unreadBytes -= next.bytes.length;
        target.put(next.bytes, 0, Math.min(target.remaining(), next.bytes.length));
        readiness.set(SelectionKey.OP_READ, !unread.isEmpty());
        return next.sender;
    }

    /** One has come. */
    void arrived(InetSocketAddress sender, byte[] bytes) {
        if (unreadBytes + bytes.length <= MOST_UNREAD) {
            unreadBytes += bytes.length;
            unread.add(new Letter(sender, bytes));
            readiness.set(SelectionKey.OP_READ, true);
        }
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        checkOpen();
        return local;
    }

    private void checkOpen() throws ClosedChannelException {
        if (!isOpen()) {
            throw new ClosedChannelException();
        }
    }

    /** Nothing comes here any more. */
    void unbind() {
        if (local != null && process.machine().datagrams.remove(local.getPort(), this)) {
            process.machine().freePort(local.getPort());
        }
    }

    @Override
    protected void implCloseSelectableChannel() {
        if (!isRegistered()) {
            release();
        }
    }

    @Override
    public void release() {
        process.closed(this);
        unbind();
    }

    @Override
    public void kill() {
        unbind();
    }

    @Override
    protected void implConfigureBlocking(boolean block) {
        // Nothing here ever blocks.
    }

    @Override
    public boolean isConnected() {
        return false;
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return null;
    }

    @Override
    public <T> DatagramChannel setOption(SocketOption<T> name, T value) {
        throw new UnsupportedOperationException("option " + name);
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
        throw new UnsupportedOperationException("option " + name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of();
    }

    @Override
    public DatagramSocket socket() {
        throw new UnsupportedOperationException("socket");
    }

    @Override
    public DatagramChannel connect(SocketAddress remote) {
        throw new UnsupportedOperationException("connect");
    }

    @Override
    public DatagramChannel disconnect() {
        throw new UnsupportedOperationException("disconnect");
    }

    @Override
    public int read(ByteBuffer target) {
        throw new UnsupportedOperationException("read");
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) {
        throw new UnsupportedOperationException("read");
    }

    @Override
    public int write(ByteBuffer source) {
        throw new UnsupportedOperationException("write");
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) {
        throw new UnsupportedOperationException("write");
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface on) {
        throw new UnsupportedOperationException("join");
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface on, InetAddress source) {
        throw new UnsupportedOperationException("join");
    }
}
