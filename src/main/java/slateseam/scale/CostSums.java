package slateseam.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** What all real routers spent in all windows of one kind. */
final class CostSums {
    /** What goes with each datagram of IPv4 and UDP beside its payload, without the link's own. */
    private static final int HEADER_BYTES = 28;

    private final List<RealCost> costs = new ArrayList<>();

    void add(List<RealCost> more) {
        costs.addAll(more);
    }

    private List<Double> each(ToDoubleFunction<RealCost> figure) {
        return costs.stream().mapToDouble(figure).boxed().toList();
    }

    double medianCpu() {
        return median(RealCost::cpu);
    }

    double medianMemory() {
        return median(RealCost::memory);
    }

    private double median(ToDoubleFunction<RealCost> figure) {
        List<Double> sorted = each(figure).stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    /** Puts the figures into a result. */
    void tell(String phase, String kind, ScaleResult result) {
        result.add(phase, "processor, " + kind, "% of a core", each(RealCost::cpu), 0);
        result.add(phase, "memory, " + kind, "MB resident", each(RealCost::memory), 0);
        result.add(
                phase,
                "waited for a processor, " + kind,
                "% of the time",
                each(cost -> cost.delayNanos() / 1e7 / cost.seconds()),
                0);
        for (Protocol protocol : Protocol.values()) {
            if (costs.stream().anyMatch(cost -> cost.datagramsASecond(protocol) > 0)) {
                result.add(
                        phase,
                        protocol.word() + " sent and received, " + kind,
                        "datagrams/s",
                        each(cost -> cost.datagramsASecond(protocol)),
                        0);
                result.add(
                        phase,
                        protocol.word() + " sent and received, " + kind,
                        "KB/s with headers",
                        each(cost ->
                                (cost.bytesASecond(protocol) + HEADER_BYTES * cost.datagramsASecond(protocol)) / 1e3),
                        0);
            }
        }
    }
}
