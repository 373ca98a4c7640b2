package slateseam.trial;

import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.sockets.SocketNet;

/** By which address each router reaches whom: through a relay where a fault of the day troubles that way, else directly. */
final class Ways {
    /** By these something befalls streams. */
    private static final Set<FaultKind> OF_STREAMS = EnumSet.of(
            FaultKind.SILENCE,
            FaultKind.CUT,
            FaultKind.RESET,
            FaultKind.REFUSE,
            FaultKind.STREAM_STALL,
            FaultKind.NARROW);
    /** Those of pairs. */
    private static final Set<FaultKind> OF_PAIRS =
            EnumSet.of(FaultKind.CUT, FaultKind.REFUSE, FaultKind.STREAM_STALL, FaultKind.NARROW);

    private final Day day;
    private final SocketNet net;
    private final StreamLinks streams;

    Ways(Day day, SocketNet net, StreamLinks streams) {
        this.day = day;
        this.net = net;
        this.streams = streams;
    }

    /** Refuses a day with faults that befall streams without a relay: ports tell routers apart for user agents. */
    static void check(Day day) {
        for (Fault fault : day.timeline().faults()) {
            List<String> unheld = fault.targets().stream()
                    .filter(target -> target.contains("user-") || !holds(fault.kind(), target))
                    .toList();
            if (OF_STREAMS.contains(fault.kind()) && !unheld.isEmpty()) {
                throw new IllegalArgumentException(
                        "a trial cannot play " + fault.kind().word() + " of " + unheld.get(0)
                                + ", only between routers, or between a router and a server, the origin or its agent; the simulation can");
            }
        }
    }

    private static boolean holds(FaultKind kind, String target) {
        if (!OF_PAIRS.contains(kind)) {
            return !target.startsWith("router-");
        }
        String[] two = target.split("~");
        boolean routers = two[0].startsWith("router-") && two[1].startsWith("router-");
        boolean one = two[0].startsWith("router-") || two[1].startsWith("router-");
        return kind == FaultKind.CUT
                ? one
                : kind == FaultKind.REFUSE ? two[0].startsWith("router-") && !routers : one && !routers;
    }

    /** Where a router reaches whoever listens at a place. */
    String dial(String router, String place) {
        String name = day.origin().listen().equals(place)
                ? Day.Origin.NAME
                : Stream.concat(
                                day.servers().stream()
                                        .filter(server -> server.listen().equals(place))
                                        .map(Day.Server::name),
                                day.routers().stream()
                                        .filter(r -> r.discovery(false).equals(place)
                                                || r.discovery(true).equals(place))
                                        .map(Day.Router::agentName))
                        .findFirst()
                        .orElseThrow();
        boolean troubled = day.timeline().faults().stream()
                .filter(fault -> OF_STREAMS.contains(fault.kind()))
                .flatMap(fault -> fault.targets().stream())
                .anyMatch(target -> target.equals(name)
                        || target.equals(router + "~" + name)
                        || target.equals(name + "~" + router));
        return text(net.address(troubled ? streams.open(router, name, place) : place));
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
