package slateseam.router.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.UUID;
import java.util.zip.CRC32C;
import slateseam.router.files.FileLocks;

/**
 * What two processes of one router tell each other. Locks say who is there, as the system gives them up with the process,
 * however it ends; what a file says counts only if its checksum is right. Nothing here is needed for a start: whatever is
 * absent, torn or another's is passed over.
 */
public final class Handover {
    /** What is held at most: two locks, and a file that is read or written. */
    public static final int DESCRIPTORS = 3;

    private static final byte[] MAGIC = {'S', 'L', 'H', 'A', 'N', 'D', '1', '\n'};
    private static final int HEAD = MAGIC.length + 2 * Integer.BYTES;
    /** Over what any list takes that discovery may tell, written in the router's own form. */
    private static final int MOST_BYTES = 8 * 1024 * 1024;

    private final Path serving;
    private final Path heir;
    private final Path handed;
    private final Path farm;
    private final boolean another;
    /** By which the one before names whom it hands over to. */
    private final String token = UUID.randomUUID().toString();

    private FileChannel servingLock;
    private FileChannel heirLock;

    /** Looks into a folder whether another process of this router runs; if so, this one is there to take over. */
    public Handover(Path folder) throws IOException {
        serving = folder.resolve("slateseam.serving");
        heir = folder.resolve("slateseam.heir");
        handed = folder.resolve("slateseam.handed");
        farm = folder.resolve("slateseam.farm");
        servingLock = FileLocks.take(serving);
        another = servingLock == null;
        if (another) {
            heirLock = FileLocks.take(heir);
            if (heirLock != null) {
                heirLock.truncate(0);
                heirLock.write(frame(token.getBytes(StandardCharsets.US_ASCII)), 0);
            }
        } else {
            Files.deleteIfExists(handed);
        }
    }

    /** Whether another process of this router ran when this one came. */
    public boolean isHeir() {
        return another;
    }

    /** Whether the process before has handed over to this one. */
    public boolean isHanded() {
        return Arrays.equals(read(handed), token.getBytes(StandardCharsets.US_ASCII));
    }

    /** Whether the process before has ended; from the first time on this one is the one that others find. */
    public boolean isAlone() throws IOException {
        if (servingLock == null) {
            servingLock = FileLocks.take(serving);
            if (servingLock != null) {
                Files.deleteIfExists(handed);
                if (heirLock != null) {
                    Files.deleteIfExists(heir);
                    heirLock.close();
                    heirLock = null;
                }
            }
        }
        return servingLock != null;
    }

    /** Whether a process that is to take over runs; what one that was killed has left is cleared away. */
    public boolean heirIsThere() throws IOException {
        if (!Files.exists(heir)) {
            return false;
        }
        try (FileChannel dead = FileLocks.take(heir)) {
            if (dead == null) {
                return true;
            }
            Files.deleteIfExists(heir);
            return false;
        }
    }

    /** Hands over to the process that is there to take over. */
    public void hand() throws IOException {
        byte[] to = read(heir);
        if (to != null) {
            write(handed, to);
        }
    }

    /** Keeps the farm as it is now for a process that comes; of one that is too long nothing is kept, not even the last. */
    public void keepFarm(String list) throws IOException {
        byte[] bytes = list.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MOST_BYTES) {
            Files.deleteIfExists(farm);
            throw new IOException("a list of " + bytes.length + " bytes, over " + MOST_BYTES);
        }
        write(farm, bytes);
    }

    /** The farm as the other process had it last; null if there is none that can be used. */
    public String farm() {
        byte[] list = read(farm);
        return list == null ? null : new String(list, StandardCharsets.UTF_8);
    }

    /** Lets go of the locks, as the end of the process does. */
    public void close() throws IOException {
        if (servingLock != null) {
            servingLock.close();
        }
        if (heirLock != null) {
            heirLock.close();
        }
    }

    private static void write(Path file, byte[] bytes) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        try (FileChannel out = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (ByteBuffer frame = frame(bytes); frame.hasRemaining(); ) {
                out.write(frame);
            }
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static ByteBuffer frame(byte[] bytes) {
        return ByteBuffer.allocate(HEAD + bytes.length)
                .put(MAGIC)
                .putInt(bytes.length)
                .putInt(checksum(bytes))
                .put(bytes)
                .flip();
    }

    /** What a file says; null if it is absent, torn, too long, or of another form. */
    private static byte[] read(Path file) {
        try {
            if (!Files.exists(file) || Files.size(file) > MOST_BYTES + HEAD) {
                return null;
            }
            ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
            if (in.remaining() < HEAD || !in.slice(0, MAGIC.length).equals(ByteBuffer.wrap(MAGIC))) {
                return null;
            }
            in.position(MAGIC.length);
            int length = in.getInt();
            int checksum = in.getInt();
            if (length != in.remaining()) {
                return null;
            }
            byte[] bytes = new byte[length];
            in.get(bytes);
            return checksum(bytes) == checksum ? bytes : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, bytes.length);
        return (int) sum.getValue();
    }
}
