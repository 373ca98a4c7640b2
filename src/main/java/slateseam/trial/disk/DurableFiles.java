package slateseam.trial.disk;

import java.io.IOException;
import java.util.Map;

/** What outlives a power cut: the files of one folder, by name. */
public interface DurableFiles {
    /** All that lies there. */
    Map<String, byte[]> all() throws IOException;

    /** Replaces a file, or makes it. */
    void put(String name, byte[] bytes) throws IOException;

    /** Removes a file if it is there. */
    void remove(String name) throws IOException;
}
