package slateseam.standin.kubernetes;

/**
 * One change of a slice.
 *
 * @param version which it made
 * @param before null if it was added
 * @param after null if it was deleted
 */
record Change(long version, Stored before, Stored after) {
    String name() {
        return after == null ? before.name() : after.name();
    }

    /** The event that a watch with a selector sees of it; null if none. */
    String event(Selector selector) {
        boolean was = before != null && selector.matches(before);
        boolean is = after != null && selector.matches(after);
        if (was && !is) {
            // An object that the selector no longer matches is told as deleted, in its last state that matched.
            return event("DELETED", before.at(version).whole());
        }
        return is ? event(was ? "MODIFIED" : "ADDED", after.whole()) : null;
    }

    static String event(String type, String object) {
        return "{\"type\":\"" + type + "\",\"object\":" + object + "}\n";
    }
}
