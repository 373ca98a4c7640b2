package slateseam.router.figures;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.spi.SelectorProvider;

/** Figures in datagrams of whole lines, each short enough to pass any usual network in one piece. */
final class Datagrams extends Batches {
    private static final int MOST_BYTES = 1_432;

    private final DatagramChannel channel;
    private final InetSocketAddress to;

    Datagrams(SelectorProvider provider, InetSocketAddress to) throws IOException {
        super(MOST_BYTES);
        this.to = to;
        this.channel = provider.openDatagramChannel();
        channel.configureBlocking(false);
    }

    @Override
    boolean write(byte[] lines, Runnable failed) {
        try {
            // Without the last line's end, behind which some collectors would look for a further line.
            return channel.send(ByteBuffer.wrap(lines, 0, lines.length - 1), to) > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more is written to it.
        }
    }
}
