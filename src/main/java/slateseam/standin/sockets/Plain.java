package slateseam.standin.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Bytes as they are. */
final class Plain implements Channeled {
    private final SocketChannel channel;

    Plain(SocketChannel channel) {
        this.channel = channel;
    }

    @Override
    public boolean handshake() {
        return true;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        return channel.read(into);
    }

    @Override
    public long write(ByteBuffer[] buffers, int count) throws IOException {
        return channel.write(buffers, 0, count);
    }

    @Override
    public boolean isBehind() {
        return false;
    }

    @Override
    public boolean end() throws IOException {
        channel.shutdownOutput();
        return true;
    }
}
