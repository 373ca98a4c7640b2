package slateseam.router.files;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Locks of files, which the system gives up with the process, however it ends. */
public final class FileLocks {
    private FileLocks() {}

    /** A channel whose lock is held until it is closed or the process ends; null if someone else holds it. */
    public static FileChannel take(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // Another router in this process holds it.
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        channel.close();
        return null;
    }
}
