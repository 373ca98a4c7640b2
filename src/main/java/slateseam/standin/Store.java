package slateseam.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What one application server keeps; what was used or stored longest ago goes first. */
final class Store {
    private record Copy(long version, int bytes, long ends) {}

    private final Clockwork clock;
    private final ServerFigures.Keeping figures;
    private final Map<String, Copy> copies = new LinkedHashMap<>(64, 0.75f, true);
    private long bytes;

    Store(Clockwork clock, ServerFigures.Keeping figures) {
        this.clock = clock;
        this.figures = figures;
    }

    /** The version that is kept of a key, which counts as used; 0 if there is none. */
    long use(String key) {
        Copy copy = copies.get(key);
        if (copy != null && copy.ends <= clock.now()) {
            drop(key);
            return 0;
        }
        return copy == null ? 0 : copy.version;
    }

    /** Whether a key is kept; it does not count as used. */
    boolean holds(String key) {
        return copies.containsKey(key);
    }

    void keep(String key, long version, int size) {
        if (size > figures.bytes() || figures.entries() == 0) {
            return;
        }
        drop(key);
        long life = figures.lifeNanos();
        copies.put(key, new Copy(version, size, life == 0 ? Long.MAX_VALUE : clock.now() + life));
        bytes += size;
        for (Iterator<Copy> eldest = copies.values().iterator();
                bytes > figures.bytes() || copies.size() > figures.entries(); ) {
            bytes -= eldest.next().bytes;
            eldest.remove();
        }
    }

    void drop(String key) {
        Copy copy = copies.remove(key);
        bytes -= copy == null ? 0 : copy.bytes;
    }

    /** Drops the keys whose hashes with this salt lie in the share, the same at all servers. */
    void dropShare(double share, long salt) {
        copies.entrySet().removeIf(entry -> {
            boolean gone = Draws.unit(Draws.hash(salt, entry.getKey())) < share;
            bytes -= gone ? entry.getValue().bytes : 0;
            return gone;
        });
    }

    int entries() {
        return copies.size();
    }

    long bytes() {
        return bytes;
    }
}
