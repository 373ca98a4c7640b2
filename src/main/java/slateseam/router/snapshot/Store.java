package slateseam.router.snapshot;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * A router's one snapshot on the disk: reads it, replaces it whole, and keeps others of the same name from doing so.
 */
final class Store {
    private static final int LONGEST_NAME = 100;

    private final SnapshotSettings settings;
    private final Disk disk;
    private final Path file;
    private final Path fresh;
    private final Path lockFile;
    private Closeable lock;

    Store(SnapshotSettings settings, Disk disk) {
        this.settings = settings;
        this.disk = disk;
        String name = fileName(settings.router());
        file = settings.folder().resolve(name + ".farm");
        fresh = settings.folder().resolve(name + ".farm.new");
        lockFile = settings.folder().resolve(name + ".farm.lock");
    }

    /** Letters, digits, dots within, - and _ stay as they are, so that different routers have different files. */
    static String fileName(String router) {
        StringBuilder name = new StringBuilder();
        for (byte b : router.getBytes(StandardCharsets.UTF_8)) {
            boolean plain = b >= 'a' && b <= 'z'
                    || b >= 'A' && b <= 'Z'
                    || b >= '0' && b <= '9'
                    || b == '-'
                    || b == '_'
                    || b == '.' && name.length() > 0;
            name.append(plain ? String.valueOf((char) b) : String.format("%%%02X", b & 0xff));
        }
        // Two long names may come to one file; the router's name within it still tells them apart.
        return name.length() <= LONGEST_NAME
                ? name.toString()
                : name.substring(0, LONGEST_NAME) + "-" + Integer.toHexString(router.hashCode());
    }

    /** Takes the lock if it is not held; GOOD, LOCKED or what hinders. */
    synchronized Finding lock() {
        try {
            lock = lock == null ? disk.lock(lockFile) : lock;
            return lock == null ? Finding.LOCKED : Finding.GOOD;
        } catch (IOException e) {
            return reason(e);
        }
    }

    synchronized void unlock() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            // The process's end releases it.
        }
        lock = null;
    }

    Found read(long now) {
        try {
            byte[] bytes = disk.read(file, settings.mostBytes());
            if (bytes == null) {
                return bad(Finding.TOO_LARGE, "over " + settings.mostBytes() + " bytes");
            }
            Frame.Read read = Frame.read(bytes, settings, now);
            if (read.finding() != Finding.GOOD) {
                return bad(read.finding(), read.detail());
            }
            return new Found(
                    Finding.GOOD,
                    Bodies.read(read.kind(), read.body()),
                    read.writtenAt(),
                    line(Finding.GOOD, read.detail()));
        } catch (NoSuchFileException e) {
            return bad(Finding.NONE, "");
        } catch (IOException e) {
            return bad(Finding.UNREADABLE, e.toString());
        } catch (RuntimeException e) {
            // Its checksum is right, but whoever wrote it was not this program.
            return bad(Finding.MALFORMED, String.valueOf(e.getMessage()));
        }
    }

    private Found bad(Finding finding, String detail) {
        return new Found(finding, null, 0, line(finding, detail));
    }

    /** One line on what was found. */
    String line(Finding finding, String detail) {
        return file + ": " + finding.text() + (detail.isEmpty() ? "" : " (" + detail + ")");
    }

    /** Replaces what there is, or leaves it as it was; what it came to. */
    Found write(Content content, long knownAt) {
        Finding locked = lock();
        if (locked != Finding.GOOD) {
            return bad(locked, "");
        }
        try {
            byte[] body = Bodies.write(content, settings.mostBytes());
            ByteBuffer frame = Frame.write(settings, Bodies.kind(content), body, knownAt);
            if (frame.remaining() > settings.mostBytes()) {
                return bad(Finding.TOO_LARGE, frame.remaining() + " bytes");
            }
            disk.write(fresh, frame);
            disk.replace(fresh, file);
            disk.force(settings.folder());
            return new Found(Finding.GOOD, null, knownAt, line(Finding.GOOD, ""));
        } catch (BoundedBytes.TooLargeException e) {
            return bad(Finding.TOO_LARGE, e.getMessage());
        } catch (IOException e) {
            discard();
            return bad(reason(e), e.toString());
        } catch (RuntimeException e) {
            return bad(Finding.UNWRITABLE, e.toString());
        }
    }

    /** Guards against a half file that keeps a full disk full. */
    private void discard() {
        try {
            disk.remove(fresh);
        } catch (IOException e) {
            // It is written anew next time.
        }
    }

    private static Finding reason(IOException e) {
        String why = String.valueOf(e.getMessage());
        return why.contains("No space left") || why.contains("quota exceeded") ? Finding.DISK_FULL : Finding.UNWRITABLE;
    }
}
