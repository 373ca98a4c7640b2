package slateseam.standin;

/**
 * How answers that carry a value are spoilt.
 *
 * @param kind what is wrong with them
 * @param share of such answers, 0 to 1
 * @param behindNanos after so long the bytes come that stand behind a good answer; 0 for with it
 */
public record Spoil(Kind kind, double share, long behindNanos) {

    /** What is wrong. */
    public enum Kind {
        /** Bytes of no protocol in place of the answer. */
        NOISE(false),
        /** A line that never ends. */
        ENDLESS_LINE(false),
        /** A length one too short; over HTTP, where that cannot be told, two lengths that differ. */
        SHORT_LENGTH(false),
        /** A length that more bytes must follow for than ever come. */
        LONG_LENGTH(false),
        /** A length of 3 GB. */
        HUGE_LENGTH(false),
        /** A good answer, and the same once more behind it. */
        SECOND_COPY(true),
        /** A good answer, and bytes of no protocol behind it. */
        NOISE_BEHIND(true),
        /** A good answer with a load report that nobody can read. */
        UNREADABLE_REPORT(true);

        private final boolean good;

        Kind(boolean good) {
            this.good = good;
        }

        /** Whether the answer itself is good, so that it may be passed on. */
        public boolean isGood() {
            return good;
        }
    }

    /** Checks the figures. */
    public Spoil {
        Range.share("share of spoilt answers", share);
        Range.span("delay of bytes behind an answer", behindNanos);
    }
}
