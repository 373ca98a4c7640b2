package slateseam.trial.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** A channel to a file of a lying folder, or to the folder itself. Locks are the system's, on a file beside the real ones. */
final class LyingChannel extends FileChannel {
    /** Opens what a lock is taken on. */
    @FunctionalInterface
    interface Locks {
        FileChannel open() throws IOException;
    }

    private final LyingFolder folder;
    private final String name;
    /** Null for the folder itself. */
    private final LyingFolder.Node node;

    private final long slowNanos;
    private final Locks locks;
    private FileChannel locked;
    private int at;

    LyingChannel(LyingFolder folder, String name, LyingFolder.Node node, long slowNanos, Locks locks) {
        this.folder = folder;
        this.name = name;
        this.node = node;
        this.slowNanos = slowNanos;
        this.locks = locks;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        int read = read(to, at);
        at += Math.max(0, read);
        return read;
    }

    @Override
    public int read(ByteBuffer to, long from) throws IOException {
        byte[] bytes = folder.bytes(node);
        if (from >= bytes.length) {
            return -1;
        }
        int length = (int) Math.min(to.remaining(), bytes.length - from);
        to.put(bytes, (int) from, length);
        return length;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        int written = write(from, at);
        at += written;
        return written;
    }

    @Override
    public int write(ByteBuffer from, long to) throws IOException {
        byte[] bytes = new byte[from.remaining()];
        from.duplicate().get(bytes);
        int taken = folder.write(name, node, (int) to, bytes);
        from.position(from.position() + taken);
        return taken;
    }

    @Override
    public void force(boolean metaData) throws IOException {
        if (folder.isSlow()) {
            try {
                Thread.sleep(slowNanos / 1_000_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (node == null) {
            folder.forceNames();
        } else {
            folder.force(node);
        }
    }

    @Override
    public long position() {
        return at;
    }

    @Override
    public FileChannel position(long to) {
        at = (int) to;
        return this;
    }

    @Override
    public long size() {
        return folder.bytes(node).length;
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        if (locked == null) {
            locked = locks.open();
        }
        return locked.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        if (locked != null) {
            locked.close();
        }
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) {
        throw new UnsupportedOperationException("lock");
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) {
        throw new UnsupportedOperationException("scattering read");
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) {
        throw new UnsupportedOperationException("gathering write");
    }

    @Override
    public FileChannel truncate(long size) {
        throw new UnsupportedOperationException("truncate");
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel to) {
        throw new UnsupportedOperationException("transferTo");
    }

    @Override
    public long transferFrom(ReadableByteChannel from, long position, long count) {
        throw new UnsupportedOperationException("transferFrom");
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
        throw new UnsupportedOperationException("map");
    }
}
