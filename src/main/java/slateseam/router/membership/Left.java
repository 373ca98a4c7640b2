package slateseam.router.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateseam.router.membership.Remembered.Known;

/** What must outlive the leaving of a server, as it may come back; at the bound the oldest is forgotten. */
final class Left {
    private final Map<String, Known> byName = new LinkedHashMap<>();
    private final int most;

    Left(int most) {
        this.most = most;
    }

    void add(Known known) {
        byName.remove(known.name());
        byName.put(known.name(), known);
        if (byName.size() > most) {
            byName.remove(byName.keySet().iterator().next());
        }
    }

    /** One that is not there drains: no older view may bring it back as ready. */
    void drained(String name, boolean origin, long version, long now) {
        Known known = byName.get(name);
        if (known == null || known.drainedAt() < version) {
            add(new Known(
                    name,
                    origin,
                    known == null ? now : known.bornAtNanos(),
                    known != null && known.seenReady(),
                    version,
                    null,
                    false));
        }
    }

    /** Brings back what is known of a server, if anything; it is kept here no more. */
    void bringBack(Tracked server) {
        Known known = byName.remove(server.name);
        if (known != null) {
            server.drainedAt = known.drainedAt();
            // An address alone may belong to another process by now.
            if (!server.byAddress) {
                server.bornAt = known.bornAtNanos();
                server.seenReady = known.seenReady();
            }
        }
    }

    /** A whole list is newer than any drain that was seen. */
    void forgetDrains() {
        byName.replaceAll((name, k) -> new Known(name, k.origin(), k.bornAtNanos(), k.seenReady(), -1, null, false));
    }

    List<Known> all() {
        return List.copyOf(byName.values());
    }
}
