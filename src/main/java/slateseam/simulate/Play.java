package slateseam.simulate;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import slateseam.simulate.check.Checker;
import slateseam.simulate.check.Figures;
import slateseam.simulate.check.Supplies;
import slateseam.simulate.network.Conditions;
import slateseam.simulate.network.VirtualNetwork;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.simulate.scenario.RouterConfig;
import slateseam.standin.ApplicationServer;
import slateseam.standin.Witness;
import slateseam.standin.World;
import slateseam.standin.useragent.ClassFigures;
import slateseam.standin.useragent.Crowd;
import slateseam.standin.useragent.Entry;
import slateseam.standin.useragent.Front;
import slateseam.standin.useragent.Popularity;
import slateseam.standin.useragent.Service;
import slateseam.standin.useragent.Surroundings;

/** Plays one day, on the calling thread alone. */
final class Play {
    /** When days begin, in Unix time. */
    static final long BEGIN = 1_800_000_000_000_000_000L;
    /** After the last request and the longest deadline, for what is still under way. */
    private static final long TAIL_NANOS = 1_000_000_000L;

    private static final String USERS = "at the routers";
    private static final long SECOND = 1_000_000_000L;
    private static final String FRONT = "10.5.0.1";
    private static final Set<FaultKind> PLANNED =
            EnumSet.of(FaultKind.SURGE, FaultKind.RESTART, FaultKind.RELOAD, FaultKind.DRAIN, FaultKind.REPLACE);

    private final Day day;
    private final VirtualNetwork net;
    private final Checker checker;
    private final Ledger ledger = new Ledger();
    private final Trace trace;
    private final Fleet fleet;
    private final Service service;
    private final Arrived arrived;
    /** Null where nobody asks for them. */
    private final ServiceByPhase phases;

    private final SupplyWatch supplyWatch;
    private final Map<String, RouterProcess> routers = new LinkedHashMap<>();
    private final Map<String, Long> logged = new TreeMap<>();
    private final RouterConfig configs;
    private FaultPlayer faults;

    /**
     * Prepares a day.
     *
     * @param lines takes a line for every happening; null for none
     */
    Play(Day day, Consumer<String> lines) {
        this(day, lines, null);
    }

    /** The same with phases that are told what user agents got, what the origin gave and how supply was used. */
    Play(Day day, Consumer<String> lines, ServiceByPhase phases) {
        List<Fault> lacking = day.timeline().faults().stream()
                .filter(fault -> !fault.kind().isVirtual())
                .toList();
        if (!lacking.isEmpty()) {
            throw new IllegalArgumentException(
                    "the virtual clock cannot play " + lacking.get(0).kind().word() + "; a trial on processes can");
        }
        this.day = day;
        net = new VirtualNetwork(conditions(day), day.streams()::of, BEGIN);
        checker = new Checker(
                figures(day),
                "origin",
                day.routers().stream().map(Day.Router::peerListen).toList(),
                net::now);
        trace = lines == null ? null : new Trace(net, lines);
        net.observe(checker);
        if (trace != null) {
            net.observe(trace);
        }
        lay();
        Witness witness = new Witnesses(trace == null ? List.of(checker, ledger) : List.of(checker, ledger, trace));
        fleet = new Fleet(day, new World(net, net, witness), this::serverStarts, (router, dial) -> dial);
        service = new Service(BEGIN, day.routerRules().overShareWorth());
        this.phases = phases;
        arrived = new Arrived(phases == null ? service : new Both(service, phases));
        supplyWatch = new SupplyWatch(net, checker.supplies());
        configs = new RouterConfig(day);
    }

    private static Conditions conditions(Day day) {
        Day.Network network = day.network();
        Conditions usual = Conditions.usual();
        Conditions.Streams streams = usual.streams();
        Conditions.Datagrams datagrams = usual.datagrams();
        return usual.with(new Conditions.Delays(0, 0, 0, 0, usual.delays().local(), network.jitter()))
                .with(new Conditions.Streams(
                        network.windowBytes(),
                        network.windowBytes(),
                        network.split(),
                        streams.gap(),
                        streams.shortRead(),
                        streams.shortWrite(),
                        streams.connectLost(),
                        streams.resetDestroys()))
                .with(new Conditions.Datagrams(
                        network.datagramLeastNanos(),
                        network.datagramMostNanos(),
                        network.lost(),
                        datagrams.swapped(),
                        network.doubled()));
    }

    private void serverStarts(ApplicationServer server) {
        checker.serverStarts(server.name(), server.address(), server.figures().capacity() / meanWorkSeconds(day));
    }

    /** The mean work of a request over all classes, in core seconds at speed 1. */
    private static double meanWorkSeconds(Day day) {
        double work = 0;
        double share = 0;
        for (ClassFigures one : day.classes()) {
            work += one.share() * day.work().of(one.name()).meanSeconds();
            share += one.share();
        }
        return work / share;
    }

    /** Whether nothing happens but what is planned, and what user agents do. */
    private static boolean isCalm(Day day) {
        return day.timeline().faults().stream().allMatch(fault -> PLANNED.contains(fault.kind()));
    }

    private static Figures figures(Day day) {
        Day.RouterRules rules = day.routerRules();
        double meanWork = meanWorkSeconds(day);
        return new Figures(
                day.classes().stream()
                        .map(one -> new Figures.ClassFigures(
                                one.name(),
                                switch (one.effect()) {
                                    case REPEATABLE -> Figures.Repeats.HARMLESS;
                                    case KEYED -> Figures.Repeats.KEYED;
                                    case ONCE -> Figures.Repeats.FORBIDDEN;
                                },
                                one.deadlineNanos(),
                                one.effect() == ClassFigures.Effect.KEYED ? one.windowNanos() : 0,
                                day.work().of(one.name()).meanSeconds() / meanWork))
                        .toList(),
                rules.tries(),
                rules.answerSlackNanos(),
                rules.drainGraceNanos(),
                new Figures.Cold(rules.overload(), rules.overloadNanos(), rules.coldFrom(), rules.coldNanos()),
                rules.descriptors(),
                rules.memoryBytes() / 2);
    }

    /** Adds the machines and the ways between them. */
    private void lay() {
        List<String> sites = day.network().sites();
        for (int i = 0; i < sites.size(); i++) {
            for (int j = 0; j <= i; j++) {
                net.distance(sites.get(i), sites.get(j), day.network().ways()[i][j]);
            }
            net.distance(USERS, sites.get(i), day.network().toRouterNanos());
        }
        day.routers().forEach(router -> {
            net.machine(router.address(), sites.get(router.site()));
            net.machine(router.agent(), USERS);
        });
        day.servers().forEach(server -> net.machine(server.address(), sites.get(server.site())));
        net.machine(day.origin().address(), sites.get(day.origin().site()));
        day.userAgents().forEach(userAgent -> net.machine(userAgent.address(), USERS));
    }

    /** Plays it to its end; may be called once. */
    Result play() {
        fleet.start();
        fleet.prefill(configs, BEGIN);
        for (Day.Router place : day.routers()) {
            RouterProcess router =
                    new RouterProcess(net, day, place, configs, checker, this::logged, fleet.list(place.name()));
            routers.put(place.name(), router);
            router.start();
        }
        Surroundings around = new Surroundings(
                net,
                net,
                arrived,
                day.classes(),
                day.tenants(),
                day.habits(),
                day.rate(),
                new Popularity(day.popularity()),
                day.values(),
                asks(),
                BEGIN,
                day.durationNanos());
        long end = BEGIN + day.durationNanos() + day.longestDeadlineNanos() + TAIL_NANOS;
        Crowd crowd = new Crowd(around, day.userAgents(), entry(end), day.streams()::of);
        crowd.start();
        if (phases != null) {
            samplePhases(end);
        }
        faults = new FaultPlayer(net, day, fleet, routers, crowd, checker, this::happened);
        faults.plan();
        if (phases != null) {
            phases.all().forEach(phase -> countOriginAt(phase.until()));
        }
        supplyWatch.start(BEGIN + day.durationNanos());
        net.at(BEGIN + SECOND, this::tellOfAgents);
        while (net.next() <= end) {
            net.step();
            checker.step();
        }
        net.run(end);
        checker.step();
        checker.over(isCalm(day));
        ledger.add(net.hash());
        if (phases != null) {
            phases.origin(phases.at(end), fleet.origin().tallies());
        }
        return new Result(
                day,
                BEGIN,
                net.now() - BEGIN,
                ledger.value(),
                net.happenings(),
                checker.breaches(),
                checker.counts(),
                service,
                supplyWatch.summary(),
                new TreeMap<>(logged),
                fleet.tallies(),
                arrived.kept());
    }

    /** At the end of a phase. */
    private void countOriginAt(long since) {
        net.at(
                BEGIN + since,
                () -> phases.origin(phases.at(BEGIN + since - 1), fleet.origin().tallies()));
    }

    private void samplePhases(long end) {
        if (!checker.supplies().last().isEmpty()) {
            phases.at(net.now())
                    .supply(
                            checker.supplies().used(),
                            checker.supplies().last().values().stream()
                                    .mapToDouble(Supplies.Supply::held)
                                    .max()
                                    .orElse(0));
        }
        if (net.now() < BEGIN + day.durationNanos()) {
            net.at(net.now() + SECOND / 4, () -> samplePhases(end));
        }
    }

    private void tellOfAgents() {
        routers.keySet().forEach(name -> {
            if (routers.get(name).isUp()) {
                checker.agentHas(name, fleet.list(name));
            }
        });
        net.at(net.now() + SECOND, this::tellOfAgents);
    }

    /** What deals out the connections of those that have no router beside them; null if each has. */
    private Entry entry(long end) {
        if (day.userAgents().stream().allMatch(figures -> figures.router() != null)) {
            return null;
        }
        net.machine(FRONT, USERS);
        Front front = new Front(
                net,
                net,
                FRONT,
                day.routers().stream().map(Day.Router::listen).toList(),
                day.habits().noticeNanos(),
                end);
        front.start();
        return front;
    }

    private Surroundings.Asks asks() {
        return day.scenario().kept() == null
                ? Surroundings.Asks.ALL
                : day.scenario().kept()::keeps;
    }

    private void logged(String router, String line) {
        checker.log(router, line);
        String[] parts = line.split(": ", 3);
        logged.merge(parts.length > 1 ? parts[1] : line, 1L, Long::sum);
        happened("log " + line);
        if (faults != null && faults.waits()) {
            net.at(net.now(), () -> faults.said(router, line).forEach(this::come));
        }
    }

    private void come(Fault fault) {
        if (phases != null) {
            phases.origin(phases.at(net.now() - 1), fleet.origin().tallies());
            phases.come(fault);
            countOriginAt(fault.until());
        }
    }

    private void happened(String text) {
        ledger.add(text);
        if (trace != null) {
            trace.line(text);
        }
    }
}
