package slateseam.router.snapshot;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import slateseam.router.files.FileLocks;

/** What is asked of the file system, so that tests can let each step fail. */
class Disk {
    /** The bytes of a file; null if it holds more than {@code most}. Throws NoSuchFileException if there is none. */
    byte[] read(Path file, int most) throws IOException {
        try (FileChannel in = FileChannel.open(file, StandardOpenOption.READ)) {
            if (in.size() > most) {
                return null;
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) in.size());
            while (bytes.hasRemaining() && in.read(bytes) >= 0) {
                continue;
            }
            return Arrays.copyOf(bytes.array(), bytes.position());
        }
    }

    /** A lock that is held until it is closed or the process ends; null if someone else holds it. */
    Closeable lock(Path file) throws IOException {
        return FileLocks.take(file);
    }

    /** Writes a file anew, so that it is on the disk when this returns. */
    void write(Path file, ByteBuffer bytes) throws IOException {
        try (FileChannel out = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
    }

    /** Gives a file another one's name, at once. */
    void replace(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Brings a folder's names onto the disk. */
    void force(Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** Removes a file if it is there. */
    void remove(Path file) throws IOException {
        Files.deleteIfExists(file);
    }
}
