package slateseam.simulate.network;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.channels.AlreadyBoundException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.NotYetBoundException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Set;

/** A program's listener. */
final class VirtualServerSocketChannel extends ServerSocketChannel implements VirtualChannel {
    private static final int USUAL_BACKLOG = 50;

    private final VirtualProvider process;
    private final Readiness readiness = new Readiness();
    private InetSocketAddress local;
    private Listener listener;

    VirtualServerSocketChannel(VirtualProvider process) {
        super(process);
        this.process = process;
        process.opened(this);
    }

    @Override
    public Readiness readiness() {
        return readiness;
    }

    @Override
    public ServerSocketChannel bind(SocketAddress address, int backlog) throws IOException {
        checkOpen();
        if (listener != null) {
            throw new AlreadyBoundException();
        }
        Machine machine = process.machine();
        InetSocketAddress asked = (InetSocketAddress) address;
        if (process.net().find(machine, asked) != machine) {
            throw new BindException("Cannot assign requested address");
        }
        int port = asked.getPort() > 0 ? asked.getPort() : machine.takePort();
        if (port < 0 || machine.listeners.containsKey(port)) {
            throw new BindException("Address already in use");
        }
        local = new InetSocketAddress(machine.address, port);
        listener = new Listener(
                machine,
                port,
                backlog > 0 ? backlog : USUAL_BACKLOG,
                null,
                () -> readiness.set(SelectionKey.OP_ACCEPT, true));
        return this;
    }

    @Override
    public SocketChannel accept() throws IOException {
        checkOpen();
        if (listener == null) {
            throw new NotYetBoundException();
        }
        End waiting = listener.poll();
        readiness.set(SelectionKey.OP_ACCEPT, listener.hasWaiting());
        return waiting == null ? null : new VirtualSocketChannel(process, waiting);
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

    @Override
    protected void implCloseSelectableChannel() {
        if (!isRegistered()) {
            release();
        }
    }

    @Override
    public void release() {
        process.closed(this);
        kill();
    }

    @Override
    public void kill() {
        if (listener != null) {
            listener.close();
        }
    }

    @Override
    protected void implConfigureBlocking(boolean block) {
        // Nothing here ever blocks.
    }

    @Override
    public <T> ServerSocketChannel setOption(SocketOption<T> name, T value) {
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
    public ServerSocket socket() {
        throw new UnsupportedOperationException("socket");
    }
}
