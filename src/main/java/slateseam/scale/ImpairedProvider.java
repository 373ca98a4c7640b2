package slateseam.scale;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.net.StandardProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.function.BiConsumer;

/** The system's network, but for datagrams, which fare as the {@link Impairments} say. */
final class ImpairedProvider extends SelectorProvider {
    private final SelectorProvider system = SelectorProvider.provider();
    private final Impairments impairments;
    private BiConsumer<Long, Runnable> later = (nanos, action) -> action.run();

    ImpairedProvider(Impairments impairments) {
        this.impairments = impairments;
    }

    /** Runs an action after so many nanoseconds; to be set before a channel is used. */
    void later(BiConsumer<Long, Runnable> timer) {
        later = timer;
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return openDatagramChannel(StandardProtocolFamily.INET);
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return new ImpairedDatagramChannel(this, system.openDatagramChannel(family), impairments, later);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return system.openPipe();
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        return new ImpairedSelector(this, system.openSelector());
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return system.openServerSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return system.openSocketChannel();
    }
}
