package slateseam.router.membership;

/** How far what the API told reaches, and which views are older than that. */
final class Position {
    /**
     * So many guard's times after a list that goes back, a second such list is believed: the API's store was restored.
     */
    private static final int TIMES = 6;

    /** What a list is worth. */
    enum Standing {
        /** It is as new as all that was told, and replaces it. */
        NEWEST,
        /** It is older than what was told. */
        BEHIND,
        /** Versions count anew from it. */
        ANEW
    }

    private final boolean comparable;
    private final long nanos;
    private long newest = -1;
    private String text;
    /** No slice that is not known and no newer than this is taken in. */
    private long floor = -1;

    private long behindSince = Long.MAX_VALUE;
    private boolean moved;

    Position(MembershipSettings settings) {
        comparable = settings.comparable();
        nanos = TIMES * settings.guard().nanos();
    }

    String text() {
        return text;
    }

    Standing listed(String version, long now) {
        long at = number(version);
        Standing standing = moved ? Standing.ANEW : Standing.NEWEST;
        if (!moved && comparable && at >= 0 && at < newest) {
            standing = behindSince <= now - nanos ? Standing.ANEW : Standing.BEHIND;
            if (standing == Standing.BEHIND) {
                behindSince = Math.min(behindSince, now);
                return standing;
            }
        }
        behindSince = Long.MAX_VALUE;
        moved = false;
        newest = at;
        floor = standing == Standing.ANEW ? at : Math.max(floor, at);
        text = version;
        return standing;
    }

    /** An event or a bookmark told that things stand at a version. */
    void reached(long version) {
        if (comparable && !moved && version > newest) {
            newest = version;
            text = Long.toString(version);
            behindSince = Long.MAX_VALUE;
        }
    }

    void reached(String version) {
        if (comparable) {
            reached(number(version));
        } else {
            text = version;
        }
    }

    /** Raises the floor, as older deletions are known no more. */
    void raise(long version) {
        floor = Math.max(floor, version);
    }

    /** Whether a slice that is not known was deleted before what was listed last. */
    boolean isBefore(long version) {
        return comparable && version <= floor;
    }

    void moved() {
        moved = true;
        text = null;
    }

    void restore(String version, long listedAt) {
        text = version;
        newest = number(version);
        floor = listedAt;
    }

    long floor() {
        return floor;
    }

    long nextLook() {
        return behindSince == Long.MAX_VALUE ? Long.MAX_VALUE : behindSince + nanos;
    }

    /** -1 if it is none. */
    static long number(String version) {
        return version != null && version.matches("\\d{1,18}") ? Long.parseLong(version) : -1;
    }
}
