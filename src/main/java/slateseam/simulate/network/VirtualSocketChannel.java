package slateseam.simulate.network;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AlreadyBoundException;
import java.nio.channels.AlreadyConnectedException;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ConnectionPendingException;
import java.nio.channels.IllegalBlockingModeException;
import java.nio.channels.NoConnectionPendingException;
import java.nio.channels.NotYetConnectedException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Set;

/** A program's side of a connection; it never blocks. */
final class VirtualSocketChannel extends SocketChannel implements VirtualChannel, Owner {
    private final VirtualProvider process;
    private final Readiness readiness = new Readiness();
    private End end;
    private boolean connected;
    private boolean outputShut;
    private boolean noDelay;
    /** What it was bound to without being connected; null otherwise. */
    private InetSocketAddress bound;

    /** A channel that is not connected. */
    VirtualSocketChannel(VirtualProvider process) {
        super(process);
        this.process = process;
        process.opened(this);
    }

    /** A channel that was accepted. */
    VirtualSocketChannel(VirtualProvider process, End accepted) {
        this(process);
        this.end = accepted;
        this.connected = true;
        accepted.ownedBy(this);
        update();
    }

    private void update() {
        readiness.set(SelectionKey.OP_READ, end.isReadable());
        readiness.set(SelectionKey.OP_WRITE, end.isWritable());
    }

    @Override
    public Readiness readiness() {
        return readiness;
    }

    @Override
    public boolean connect(SocketAddress remote) throws IOException {
        checkOpen();
        if (connected) {
            throw new AlreadyConnectedException();
        }
        if (end != null) {
            throw new ConnectionPendingException();
        }
        if (bound != null) {
            throw new UnsupportedOperationException("bind before connect");
        }
        if (isBlocking()) {
            throw new IllegalBlockingModeException();
        }
        InetSocketAddress address = (InetSocketAddress) remote;
        Machine target = process.net().find(process.machine(), address);
        String ip = target == null ? address.getAddress().getHostAddress() : target.ip;
        end = process.net().connect(process.machine(), target, ip, address.getPort(), address, this);
        if (end == null) {
            throw new SocketException("Cannot assign requested address");
        }
        return false;
    }

    @Override
    public boolean finishConnect() throws IOException {
        checkOpen();
        if (connected) {
            return true;
        }
        if (end == null) {
            throw new NoConnectionPendingException();
        }
        if (end.failure() != null) {
            String why = end.failure();
            close();
            throw new ConnectException(why);
        }
        if (!end.isUp() && !end.isReset()) {
            return false;
        }
        connected = true;
        readiness.set(SelectionKey.OP_CONNECT, false);
        update();
        return true;
    }

    @Override
    public boolean isConnected() {
        return connected;
    }

    @Override
    public boolean isConnectionPending() {
        return end != null && !connected;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        checkConnected();
        int read = end.read(target);
        readiness.set(SelectionKey.OP_READ, end.isReadable());
        return read;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return (int) write(new ByteBuffer[] {source}, 0, 1);
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        checkConnected();
        if (outputShut) {
            throw new AsynchronousCloseException(); // as the system's channels do
        }
        long written = end.write(sources, offset, length);
        readiness.set(SelectionKey.OP_WRITE, end.isWritable());
        return written;
    }

    @Override
    public SocketChannel shutdownOutput() throws IOException {
        checkConnected();
        outputShut = true;
        end.end();
        return this;
    }

    private void checkOpen() throws ClosedChannelException {
        if (!isOpen()) {
            throw new ClosedChannelException();
        }
    }

    private void checkConnected() throws ClosedChannelException {
        checkOpen();
        if (!connected) {
            throw new NotYetConnectedException();
        }
    }

    @Override
    protected void implCloseSelectableChannel() {
        if (!isRegistered()) {
            release();
        } else if (connected) {
            end.end();
        }
    }

    @Override
    public void release() {
        process.closed(this);
        if (end != null) {
            end.close();
        }
        freePort();
    }

    @Override
    protected void implConfigureBlocking(boolean block) {
        // Nothing here ever blocks; a blocking channel cannot be registered, and that is checked by the caller.
    }

    @Override
    public void kill() {
        if (end != null) {
            end.reset();
        }
        freePort();
    }

    @Override
    public void up() {
        readiness.set(SelectionKey.OP_CONNECT, true);
    }

    @Override
    public void failed() {
        readiness.set(SelectionKey.OP_CONNECT, true);
    }

    @Override
    public void inputChanged() {
        if (connected) {
            readiness.set(SelectionKey.OP_READ, true);
        }
    }

    @Override
    public void roomCame() {
        readiness.set(SelectionKey.OP_WRITE, true);
    }

    @Override
    public void broke() {
        if (connected) {
            update();
        }
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        checkOpen();
        return end == null ? bound : end.local();
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
        checkOpen();
        return end == null ? null : end.remote();
    }

    @Override
    public <T> SocketChannel setOption(SocketOption<T> name, T value) throws IOException {
        checkOpen();
        if (name == StandardSocketOptions.SO_REUSEADDR) {
            return this; // Of no effect: a port is free once the listener that had it has closed.
        }
        if (name == StandardSocketOptions.SO_SNDBUF) {
            return this; // Of no effect: the conditions of the network say what a system buffers.
        }
        if (name != StandardSocketOptions.TCP_NODELAY) {
            throw new UnsupportedOperationException("option " + name);
        }
        noDelay = (Boolean) value; // Of no effect: nothing is held back to be sent together.
        return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
        checkOpen();
        if (name != StandardSocketOptions.TCP_NODELAY) {
            throw new UnsupportedOperationException("option " + name);
        }
        return name.type().cast(noDelay);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of(
                StandardSocketOptions.TCP_NODELAY, StandardSocketOptions.SO_REUSEADDR, StandardSocketOptions.SO_SNDBUF);
    }

    /** Takes a port and no more: one that is bound cannot be connected here. */
    @Override
    public SocketChannel bind(SocketAddress local) throws IOException {
        checkOpen();
        if (end != null || bound != null) {
            throw new AlreadyBoundException();
        }
        Machine machine = process.machine();
        InetSocketAddress asked = (InetSocketAddress) local;
        if (process.net().find(machine, asked) != machine) {
            throw new BindException("Cannot assign requested address");
        }
        int port = asked.getPort();
        if (port == 0) {
            port = machine.takePort();
        } else if (!machine.takePort(port)) {
            port = -1;
        }
        if (port < 0) {
            throw new BindException("Address already in use");
        }
        bound = new InetSocketAddress(machine.address, port);
        return this;
    }

    private void freePort() {
        if (bound != null) {
            process.machine().freePort(bound.getPort());
            bound = null;
        }
    }

    @Override
    public SocketChannel shutdownInput() {
        throw new UnsupportedOperationException("shutdownInput");
    }

    @Override
    public Socket socket() {
        throw new UnsupportedOperationException("socket");
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) {
        throw new UnsupportedOperationException("scattered read");
    }
}
