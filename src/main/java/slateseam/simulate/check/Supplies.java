package slateseam.simulate.check;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;

/** How the routers divide the origin's budget, as they tell it one another in datagrams. */
public final class Supplies {
    private static final int VERSION = 3;
    private static final int HEADER_BYTES = 22;
    private static final int ACCOUNT_BYTES = 16;
    private static final int FLAG_BITS = 3;
    private static final int RATE_AT = 18;
    /** The whole budget, in the parts that the messages count. */
    private static final double WHOLE = 1 << 30;

    /**
     * What one router told last.
     *
     * @param nanos when, in Unix time
     * @param part its part of the budget; all routers' parts should add up to 1
     * @param held the same with what it has inherited from neighbours that it takes for gone
     * @param rate the whole budget as it has learned it, fetches a second
     * @param demand its demand, fetches a second
     */
    public record Supply(long nanos, double part, double held, double rate, double demand) {}

    private final Map<String, Supply> last = new TreeMap<>();

    /** A router sent a datagram of the ring; others are passed over. */
    public void told(String router, byte[] bytes, long now) {
        if (bytes.length >= HEADER_BYTES + ACCOUNT_BYTES && bytes[0] == VERSION && bytes[1] >> FLAG_BITS >= 1) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            last.put(
                    router,
                    new Supply(
                            now,
                            b.getInt(HEADER_BYTES + 4) / WHOLE,
                            b.getInt(HEADER_BYTES + 8) / WHOLE,
                            b.getFloat(RATE_AT),
                            b.getFloat(HEADER_BYTES + 12)));
        }
    }

    /** A router is gone, and what it told with it. */
    public void forget(String router) {
        last.remove(router);
    }

    /** By router's name, those that have told anything since their start. */
    public Map<String, Supply> last() {
        return new TreeMap<>(last);
    }

    /** What the parts add up to. */
    public double sum() {
        return last.values().stream().mapToDouble(Supply::part).sum();
    }

    /** What all use together; over 1 where somebody's part is used by another who takes it for gone. */
    public double used() {
        return last.values().stream().mapToDouble(Supply::held).sum();
    }

    /** The part of the budget that would have to move for each router's part to be that of its demand, 0 to 1. */
    public double imbalance() {
        double demand = last.values().stream().mapToDouble(Supply::demand).sum();
        double sum = sum();
        return demand <= 0 || sum <= 0
                ? 0
                : last.values().stream()
                                .mapToDouble(s -> Math.abs(s.part / sum - s.demand / demand))
                                .sum()
                        / 2;
    }

    /** What the routers may fetch together, a second. */
    public double fetches() {
        return last.values().stream()
                .mapToDouble(s -> Math.max(0, s.part) * s.rate)
                .sum();
    }
}
