package slateseam.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * A numbered list of servers. It remembers the last 4,096 that are gone; what watched before those gets the whole
 * list.
 */
final class FarmList {
    private static final int MOST_GONE = 4_096;

    private record Entry(Listing listing, long version) {
        boolean isGone() {
            return listing.health() == Listing.Health.GONE;
        }
    }

    /** The one that changed last comes last. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private long version;
    private long floor;
    private int gone;

    long version() {
        return version;
    }

    /** Whether changes since a version can be told apart from the rest. */
    boolean knows(long since) {
        return since >= floor && since <= version;
    }

    void change(Listing listing) {
        version++;
        Entry old = entries.remove(listing.host());
        gone -= old != null && old.isGone() ? 1 : 0;
        Entry entry = new Entry(listing, version);
        entries.put(listing.host(), entry);
        gone += entry.isGone() ? 1 : 0;
        for (Iterator<Entry> oldest = entries.values().iterator(); gone > MOST_GONE; ) {
            Entry one = oldest.next();
            if (one.isGone()) {
                oldest.remove();
                floor = one.version;
                gone--;
            }
        }
    }

    /** Counts from 1 again, as a new agent does. */
    void renumber() {
        List<Entry> old = new ArrayList<>(entries.values());
        entries.clear();
        version = 0;
        floor = 0;
        gone = 0;
        for (Entry entry : old) {
            if (!entry.isGone()) {
                change(entry.listing);
            }
        }
    }

    String whole() {
        JSONArray hosts = new JSONArray();
        for (Entry entry : entries.values()) {
            if (!entry.isGone()) {
                hosts.put(entry.listing.json());
            }
        }
        return text(true, hosts);
    }

    String since(long since) {
        JSONArray hosts = new JSONArray();
        for (Entry entry : entries.values()) {
            if (entry.version > since) {
                hosts.put(entry.listing.json());
            }
        }
        return text(false, hosts);
    }

    private String text(boolean whole, JSONArray hosts) {
        return new JSONObject()
                .put("seq", version)
                .put("whole", whole)
                .put("hosts", hosts)
                .toString();
    }
}
