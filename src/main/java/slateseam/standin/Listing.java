package slateseam.standin;

import org.json.JSONObject;

/**
 * An entry of discovery's list.
 *
 * @param host the same at every router
 * @param dial its address as one router reaches it
 * @param site where it stands
 * @param kind its class
 * @param block a number that its neighbours share
 * @param health what it wants
 * @param share of the usual traffic that it is meant for
 * @param bornMillis its last start, in Unix time in milliseconds; 0 for long ago
 */
public record Listing(
        String host, String dial, String site, String kind, int block, Health health, double share, long bornMillis) {

    /** What a server wants. */
    public enum Health {
        /** Requests. */
        READY("ready"),
        /** Nothing new. */
        DRAINING("draining"),
        /** Nothing; it is no longer listed. */
        GONE("gone");

        private final String word;

        Health(String word) {
            this.word = word;
        }

        /** The word in lists. */
        public String word() {
            return word;
        }
    }

    /** The same with another health. */
    public Listing with(Health other) {
        return new Listing(host, dial, site, kind, block, other, share, bornMillis);
    }

    /** The same with another start. */
    public Listing born(long millis) {
        return new Listing(host, dial, site, kind, block, health, share, millis);
    }

    /** The same at another address. */
    public Listing at(String address) {
        return new Listing(host, address, site, kind, block, health, share, bornMillis);
    }

    JSONObject json() {
        return new JSONObject()
                .put("host", host)
                .put("dial", dial)
                .put("site", site)
                .put("class", kind)
                .put("block", block)
                .put("health", health.word())
                .put("share", share)
                .put("born_ms", bornMillis);
    }
}
