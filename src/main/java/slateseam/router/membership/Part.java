package slateseam.router.membership;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;

/** A slice as it was taken in, with what its labels and annotations tell and the servers that it has views of. */
final class Part {
    private static final double MOST_WEIGHT = 1_000;
    private static final long NANOS_A_MILLI = 1_000_000L;
    private static final long NANOS_A_SECOND = 1_000_000_000L;

    private final Slice slice;
    private final boolean origin;
    private final String kind;
    private final double weight;
    private final long start;
    /** What it has views of; one that stands in it twice is here twice. */
    final List<Tracked> members;
    /** Whether some of its endpoints found no room. */
    boolean missed;

    Part(Slice slice, MembershipSettings settings) {
        this.slice = slice;
        String service = settings.origin().service();
        origin = service != null && service.equals(slice.labels().get(MembershipSettings.Keys.SERVICE));
        String kindText = text(settings.keys().kind());
        kind = kindText == null ? "" : kindText;
        weight = weight(text(settings.keys().weight()));
        start = start(text(settings.keys().start()));
        members = new ArrayList<>(slice.endpoints().size());
    }

    Slice slice() {
        return slice;
    }

    boolean isOrigin() {
        return origin;
    }

    String kind() {
        return kind;
    }

    /** 1 if nothing usable tells it. */
    double weight() {
        return weight;
    }

    /** Unix nanoseconds; -1 if nothing usable tells it. */
    long start() {
        return start;
    }

    /** Whether its endpoints can be reached at all. */
    boolean hasPort() {
        return slice.port() != null && slice.port() > 0 && slice.port() <= 65_535;
    }

    private String text(String key) {
        String annotation = key == null ? null : slice.annotations().get(key);
        return annotation == null && key != null ? slice.labels().get(key) : annotation;
    }

    private static double weight(String text) {
        try {
            double weight = text == null ? 1 : Double.parseDouble(text);
            return weight > 0 && weight <= MOST_WEIGHT ? weight : 1;
        } catch (NumberFormatException e) {
            return 1;
        }
    }

    private static long start(String text) {
        try {
            if (text == null) {
                return -1;
            }
            if (text.matches("\\d{1,15}")) {
                return Math.min(Long.parseLong(text), Long.MAX_VALUE / NANOS_A_MILLI) * NANOS_A_MILLI;
            }
            Instant start = Instant.parse(text);
            return Math.max(
                    -1, Math.addExact(Math.multiplyExact(start.getEpochSecond(), NANOS_A_SECOND), start.getNano()));
        } catch (DateTimeParseException | ArithmeticException e) {
            return -1;
        }
    }
}
