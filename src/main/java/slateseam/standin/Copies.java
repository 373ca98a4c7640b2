package slateseam.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings values from the origin to the application servers that missed them, and voids copies, at once and with no
 * action by a router. It remembers the first two misses of each of the last 65,536 ids; older ones are forgotten, and
 * what is fetched for them is not stored.
 */
public final class Copies {
    private static final int MOST_IDS = 65_536;
    private static final int STORED_AT = 2;

    private record Missed(ApplicationServer server, int start) {}

    private final Archive archive;
    private final List<ApplicationServer> servers = new ArrayList<>();
    private final Map<String, List<Missed>> missed = new LinkedHashMap<>();

    /** Creates it for servers that share an archive. */
    public Copies(Archive archive) {
        this.archive = archive;
    }

    /** A server that holds copies. */
    void join(ApplicationServer server) {
        servers.add(server);
    }

    /** A server told a request that it lacks its key. */
    void missed(String id, ApplicationServer server) {
        List<Missed> lacking = missed.computeIfAbsent(id, any -> new ArrayList<>(1));
        if (lacking.size() < STORED_AT) {
            lacking.add(new Missed(server, server.starts()));
        }
        if (missed.size() > MOST_IDS) {
            missed.remove(missed.keySet().iterator().next());
        }
    }

    /** The origin has answered a read that was still waited for. */
    void answered(String id, String key, long version) {
        List<Missed> lacking = missed.remove(id);
        if (lacking != null) {
            for (Missed one : lacking) {
                if (one.server.isUp() && one.server.starts() == one.start) {
                    one.server.store(key, version, archive.size(key));
                }
            }
        }
    }

    /** A write to a key was carried out. */
    void written(String key) {
        for (ApplicationServer server : servers) {
            server.voidKey(key);
        }
    }

    /** Voids the copies of a share of all keys, 0 to 1, at all servers; the salt decides which. */
    public void voidShare(double share, long salt) {
        Range.share("share of keys that go void", share);
        for (ApplicationServer server : servers) {
            server.voidShare(share, salt);
        }
    }
}
