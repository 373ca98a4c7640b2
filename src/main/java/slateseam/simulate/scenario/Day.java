package slateseam.simulate.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import slateseam.standin.OriginFigures;
import slateseam.standin.ServerFigures;
import slateseam.standin.ValueFigures;
import slateseam.standin.WorkFigures;
import slateseam.standin.useragent.ClassFigures;
import slateseam.standin.useragent.Habits;
import slateseam.standin.useragent.PopularityFigures;
import slateseam.standin.useragent.RateFigures;
import slateseam.standin.useragent.RudeKind;
import slateseam.standin.useragent.TenantFigures;
import slateseam.standin.useragent.UserAgentFigures;

/**
 * A day drawn from a scenario by a seed: machines with addresses, their figures, and the faults. Times are in
 * nanoseconds; those of faults and of the duration count from the day's beginning. Addresses are text without names to
 * look up.
 *
 * @param scenario what it was drawn from
 * @param streams each actor's source of random numbers; holds the seed
 * @param durationNanos for how long requests are asked; what is open then is still answered
 * @param network ways, streams and datagrams
 * @param routers that are there, by their numbers
 * @param routerRules what the settings of all routers say
 * @param servers that are there
 * @param origin the origin
 * @param discovery when changes of the farm reach the routers
 * @param work what requests cost servers
 * @param values sizes of values
 * @param classes of requests
 * @param tenants of the service
 * @param userAgents the processes that are there
 * @param habits how those behave
 * @param rate how their rate goes up and down, surges included
 * @param popularity which keys they ask for
 * @param rude how many rude user agents of each kind come with a fault of that kind
 * @param timeline the faults; none befalls a machine that is left out
 */
public record Day(
        Scenario scenario,
        Streams streams,
        long durationNanos,
        Network network,
        List<Router> routers,
        RouterRules routerRules,
        List<Server> servers,
        Origin origin,
        Discovery discovery,
        WorkFigures work,
        ValueFigures values,
        List<ClassFigures> classes,
        List<TenantFigures> tenants,
        List<UserAgentFigures> userAgents,
        Habits habits,
        RateFigures rate,
        PopularityFigures popularity,
        Map<RudeKind, Integer> rude,
        Timeline timeline) {
    /** The port of discovery's agents until it moves, and that from then on. */
    public static final int AGENT_PORT = 8500;
    /** The port to which discovery's agents move. */
    public static final int MOVED_PORT = 8501;

    /**
     * Ways, streams and datagrams.
     *
     * @param sites their names, by number
     * @param ways one-way delay by pair of sites' numbers, the same in both directions
     * @param toRouterNanos one-way delay between a user agent and the router beside it
     * @param jitter by which part a way may take longer, each time anew
     * @param split the part of deliveries that is split at a random byte
     * @param windowBytes bytes under way before a sender is held up
     * @param backlog connections that wait to be accepted
     * @param datagramLeastNanos the least delay of a datagram
     * @param datagramMostNanos the longest delay of a datagram
     * @param lost the part of datagrams that never arrives
     * @param doubled the part of datagrams that arrives twice
     */
    public record Network(
            List<String> sites,
            long[][] ways,
            long toRouterNanos,
            double jitter,
            double split,
            int windowBytes,
            int backlog,
            long datagramLeastNanos,
            long datagramMostNanos,
            double lost,
            double doubled) {}

    /**
     * A router.
     *
     * @param name as faults and its log name it
     * @param number among those that are there, as its settings tell it
     * @param address of its machine, without a port
     * @param site by number
     * @param agent the address of the machine of its agent of discovery, without a port
     * @param startNanos from a start until it takes connections
     * @param agentSpreadNanos by how much later its agent has each change
     */
    public record Router(
            String name, int number, String address, int site, String agent, long startNanos, long agentSpreadNanos) {
        /** Where user agents connect. */
        public String listen() {
            return address + ":6379";
        }

        /** Where datagrams arrive and leave. */
        public String peerListen() {
            return address + ":7946";
        }

        /** Where its agent of discovery is before or after it has moved. */
        public String discovery(boolean moved) {
            return agent + ":" + (moved ? MOVED_PORT : AGENT_PORT);
        }

        /** The name of its agent of discovery, as faults name it. */
        public String agentName() {
            return name.replaceFirst("router", "discovery");
        }
    }

    /**
     * What the settings of all routers say.
     *
     * @param descriptors that each may hold
     * @param memoryBytes of each
     * @param held requests that each may hold open
     * @param tickNanos the setting of that name
     * @param tries proxy passes of a request
     * @param secondCopies whether two passes of a request may be out together
     * @param cancel whether passes may be given up
     * @param probes whether servers may be probed
     * @param messages whether routers may send each other datagrams
     * @param tier whether routers know their tier in common: off, keep or rest
     * @param supplyLinks whether routers exchange supply beyond their ring neighbours
     * @param comeBack whether an unavailable answer may tell when to come back
     * @param longestComeBackNanos the latest such time
     * @param connectNanos a server's connection that is not up by then has failed
     * @param commands at once on a server's connection
     * @param idleNanos servers close connections that are idle for so long
     * @param asked whether the list must be asked for
     * @param drainGraceNanos until nothing new goes to a server that drains
     * @param coldFrom part of the capacity that a server has at least when it starts
     * @param coldNanos by then it has all of it
     * @param overload so many times its capacity push a cold server over
     * @param overloadNanos sent for so long
     * @param answerSlackNanos by how much a final answer may come behind the deadline
     * @param overShareWorth worth of what a tenant asks beyond its share, as a part
     */
    public record RouterRules(
            int descriptors,
            long memoryBytes,
            int held,
            long tickNanos,
            int tries,
            boolean secondCopies,
            boolean cancel,
            boolean probes,
            boolean messages,
            String tier,
            boolean supplyLinks,
            boolean comeBack,
            long longestComeBackNanos,
            long connectNanos,
            int commands,
            long idleNanos,
            boolean asked,
            long drainGraceNanos,
            double coldFrom,
            long coldNanos,
            double overload,
            long overloadNanos,
            long answerSlackNanos,
            double overShareWorth) {
        /** Whether routers know their tier in common. */
        public boolean hasTier() {
            return messages && !tier.equals("off");
        }
    }

    /**
     * An application server.
     *
     * @param name as faults name it
     * @param kind of machine
     * @param address of its machine, without a port
     * @param site by number
     * @param block the cell that it belongs to
     * @param told its size, as discovery tells it
     * @param filled the part of its entries that is kept when the day begins
     * @param figures what it can do
     */
    public record Server(
            String name,
            String kind,
            String address,
            int site,
            int block,
            double told,
            double filled,
            ServerFigures figures) {
        /** Where it takes connections. */
        public String listen() {
            return address + ":6379";
        }
    }

    /**
     * The origin.
     *
     * @param address of its machine, without a port
     * @param site by number
     * @param figures what it can do
     */
    public record Origin(String address, int site, OriginFigures figures) {
        /** Its name, as faults and lists name it. */
        public static final String NAME = "origin";

        /** Where it takes connections. */
        public String listen() {
            return address + ":8080";
        }
    }

    /**
     * When changes of the farm reach the routers.
     *
     * @param endNanos until a process that died is listed as gone
     * @param silenceNanos until a silent machine is
     * @param startNanos until a process that started is listed as ready
     * @param periodNanos changes are handed on at this distance
     */
    public record Discovery(long endNanos, long silenceNanos, long startNanos, long periodNanos) {}

    /** Copies the lists. */
    public Day {
        routers = List.copyOf(routers);
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        userAgents = List.copyOf(userAgents);
    }

    /**
     * Draws a day.
     *
     * @param seed any number; a scenario that has a seed of its own plays that
     */
    public static Day draw(Scenario scenario, long seed, FaultChoice faults) {
        return new DayDraw(scenario, new Streams(scenario.seed().orElse(seed))).day(faults);
    }

    /** The seed that was played. */
    public long seed() {
        return streams.seed();
    }

    /** The address of a machine by the name that faults use, without a port; null if it is not there. */
    public String address(String machine) {
        if (machine.equals(Origin.NAME)) {
            return origin.address;
        }
        return Stream.of(
                        routers.stream().filter(r -> r.name.equals(machine)).map(Router::address),
                        routers.stream()
                                .filter(r -> r.agentName().equals(machine))
                                .map(Router::agent),
                        servers.stream().filter(s -> s.name.equals(machine)).map(Server::address),
                        userAgents.stream()
                                .filter(u -> u.name().equals(machine))
                                .map(UserAgentFigures::address))
                .flatMap(found -> found)
                .findFirst()
                .orElse(null);
    }

    /** The longest that any user agent waits for a request. */
    public long longestDeadlineNanos() {
        return classes.stream().mapToLong(ClassFigures::deadlineNanos).max().orElse(0);
    }

    /** The host name that an application server has in discovery's list; each replacement has a new one. */
    public String host(Server server, int replacement) {
        return server.name + "-" + String.format("%08x", (int) streams.number(server.name + " host " + replacement));
    }

    /**
     * The same day as a scenario in which nothing is left to be drawn that would change its parts: numbers of machines,
     * the duration and the seed are fixed, and the faults are scripted. It is played the same, and is where shrinking
     * begins.
     */
    public Scenario asScenario() {
        Scenario fixed = scenario.withoutDrawnFaults().withSeed(seed()).withScript(timeline.faults());
        if (((Value.Range) scenario.one("day").value("duration")).least() != durationNanos) {
            fixed = fixed.with("day", "", "duration", nanos(durationNanos));
        }
        for (Section section : scenario.sections()) {
            String word = switch (section.type()) {
                case "routers", "servers" -> "number";
                case "user-agents" -> "beside-each";
                default -> null;
            };
            if (word != null) {
                int number = new Drawn(section, streams, DayDraw.actor(section)).count(word);
                fixed = fixed.with(section.type(), section.name(), word, new Value.Range(number, number, Unit.COUNT));
            }
        }
        return fixed;
    }

    private static Value nanos(long nanos) {
        double millis = nanos / Unit.MILLIS.scale();
        return new Value.Range(millis, millis, Unit.MILLIS);
    }

    /** The longest one-way delay between two sites. */
    public long longestWayNanos() {
        return Arrays.stream(network.ways).flatMapToLong(Arrays::stream).max().orElse(0);
    }
}
