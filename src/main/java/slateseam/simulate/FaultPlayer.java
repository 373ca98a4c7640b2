package slateseam.simulate;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import slateseam.simulate.check.Checker;
import slateseam.simulate.network.VirtualNetwork;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.DiscoveryAgent;
import slateseam.standin.useragent.Crowd;
import slateseam.standin.useragent.RudeKind;

/** Brings a day's faults about, each at its time. */
final class FaultPlayer {
    /** In which one that is starved runs for its part. */
    private static final long STARVED_TURN_NANOS = 100_000_000L;

    private final VirtualNetwork net;
    private final Day day;
    private final long start;
    private final Fleet fleet;
    private final Map<String, RouterProcess> routers;
    private final Crowd crowd;
    private final Checker checker;
    private final Consumer<String> trace;
    private final Cues cues;

    FaultPlayer(
            VirtualNetwork net,
            Day day,
            Fleet fleet,
            Map<String, RouterProcess> routers,
            Crowd crowd,
            Checker checker,
            Consumer<String> trace) {
        this.net = net;
        this.day = day;
        this.start = net.now();
        this.fleet = fleet;
        this.routers = routers;
        this.crowd = crowd;
        this.checker = checker;
        this.trace = trace;
        cues = new Cues(day.timeline().faults());
    }

    /** Sets all faults of the day. */
    void plan() {
        for (Fault fault : day.timeline().faults()) {
            if (!(fault instanceof Fault.Cued)) {
                plan(fault);
            }
        }
    }

    private void plan(Fault fault) {
        at(fault.at(), () -> {
            trace.accept("fault " + fault);
            begin(fault);
        });
        if (fault.kind().lasts()) {
            at(fault.until(), () -> {
                trace.accept("fault over " + fault);
                end(fault);
            });
        }
    }

    /** Whether a fault waits for a line of a log. */
    boolean waits() {
        return !cues.isEmpty();
    }

    /** A router's log has this line; what has come so is told. */
    List<Fault> said(String router, String line) {
        List<Fault> come = cues.said(router, line, net.now() - start);
        come.forEach(this::plan);
        return come;
    }

    private void at(long sinceStart, Runnable action) {
        net.at(start + sinceStart, action);
    }

    private void begin(Fault fault) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH, REPLACE -> targets.forEach(fleet::crash);
            case ROUTER_KILL -> targets.forEach(this::kill);
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), true);
            case ORIGIN_ERRORS -> fleet.origin().trouble(fault.size());
            case VOID -> fleet.copies().voidShare(fault.size(), day.streams().number("void " + fault.at()));
            case DRAIN -> targets.forEach(fleet::drain);
            case LIST_LATE -> targets.forEach(router -> fleet.agent(router).late((long) fault.size()));
            case LIST_FROZEN -> targets.forEach(router -> fleet.agent(router).freeze(true));
            case SILENCE -> targets.forEach(machine -> silence(machine, true));
            case CUT -> targets.forEach(pair -> cut(pair, true));
            case RESET -> targets.forEach(machine -> net.reset(day.address(machine)));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, fault.size()));
            case RUDE -> targets.forEach(kind -> rude(kind, fault));
            case RESTART -> {
                for (int i = 0; i < targets.size(); i++) {
                    String router = targets.get(i);
                    at(fault.at() + i * (long) fault.size(), () -> restart(router));
                }
            }
            case RELOAD -> targets.forEach(this::reload);
            case DATAGRAM_LOSS -> net.loseDatagrams(fault.size());
            case PAUSE -> targets.forEach(router -> pause(router, true));
            case STARVE ->
                targets.forEach(router -> {
                    checker.standsStill(router, true);
                    starve(router, fault);
                });
            case ONE_WAY -> targets.forEach(pair -> net.mute(from(pair), to(pair), true));
            case STALL -> targets.forEach(pair -> net.stall(from(pair), to(pair), true));
            case DATAGRAM_LATE -> net.delayDatagrams((long) fault.size());
            case DATAGRAM_DOUBLE -> net.doubleDatagrams(fault.size());
            case DATAGRAM_SWAP -> net.swapDatagrams(fault.size());
            case CLOCK_AHEAD -> targets.forEach(router -> routers.get(router).clockAhead((long) fault.size()));
            case CLOCK_BEHIND -> targets.forEach(router -> routers.get(router).clockAhead(-(long) fault.size()));
            case SURGE -> {} // drawn into the rate of the user agents
            default ->
                throw new IllegalStateException(
                        "the virtual clock plays no " + fault.kind().word());
        }
    }

    private void end(Fault fault) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH -> targets.forEach(fleet::startAgain);
            case REPLACE -> targets.forEach(fleet::replace);
            case ROUTER_KILL -> targets.forEach(router -> routers.get(router).startSoon());
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), false);
            case ORIGIN_ERRORS -> fleet.origin().trouble(0);
            case DRAIN -> targets.forEach(fleet::crash);
            case LIST_LATE -> targets.forEach(router -> fleet.agent(router).late(0));
            case LIST_FROZEN -> targets.forEach(router -> fleet.agent(router).freeze(false));
            case SILENCE -> targets.forEach(machine -> silence(machine, false));
            case CUT -> targets.forEach(pair -> cut(pair, false));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, 0));
            case DATAGRAM_LOSS -> net.loseDatagrams(0);
            case PAUSE -> targets.forEach(router -> pause(router, false));
            case STARVE -> targets.forEach(router -> pause(router, false));
            case ONE_WAY -> targets.forEach(pair -> net.mute(from(pair), to(pair), false));
            case STALL -> targets.forEach(pair -> net.stall(from(pair), to(pair), false));
            case DATAGRAM_LATE -> net.delayDatagrams(0);
            case DATAGRAM_DOUBLE -> net.doubleDatagrams(0);
            case DATAGRAM_SWAP -> net.swapDatagrams(0);
            case CLOCK_AHEAD, CLOCK_BEHIND ->
                targets.forEach(router -> routers.get(router).clockAhead(0));
            default -> {} // over at once, or by itself
        }
    }

    private void kill(String router) {
        trace.accept("killed " + router);
        routers.get(router).kill(fleet.list(router));
    }

    private void restart(String router) {
        trace.accept("SIGTERM " + router);
        routers.get(router).restart(fleet.list(router));
    }

    private void reload(String router) {
        RouterProcess process = routers.get(router);
        if (!process.hasMoved()) {
            Day.Router place = day.routers().stream()
                    .filter(r -> r.name().equals(router))
                    .findFirst()
                    .orElseThrow();
            DiscoveryAgent agent = fleet.agent(router);
            agent.move(place.discovery(true));
        }
        trace.accept("SIGHUP " + router);
        process.reload();
    }

    private void rude(String word, Fault fault) {
        RudeKind kind = RudeKind.find(word);
        int number = (int) Math.ceil(day.rude().get(kind) * fault.size());
        crowd.rude(kind, number, start + fault.until());
    }

    private void silence(String machine, boolean on) {
        String address = day.address(machine);
        net.silence(address, on);
        checker.disturbed(address, null, on);
        fleet.silent(machine, on);
        if (!on) {
            net.reset(address);
        }
    }

    private void pause(String router, boolean on) {
        routers.get(router).pause(on);
        checker.standsStill(router, on);
    }

    /** Lets it run for its part of each turn, until the fault is over. */
    private void starve(String router, Fault fault) {
        if (net.now() - start >= fault.until()) {
            return;
        }
        routers.get(router).pause(false);
        net.at(net.now() + (long) (fault.size() * STARVED_TURN_NANOS), () -> {
            if (net.now() - start < fault.until()) {
                routers.get(router).pause(true);
            }
        });
        net.at(net.now() + STARVED_TURN_NANOS, () -> starve(router, fault));
    }

    private String from(String pair) {
        return day.address(pair.split("~")[0]);
    }

    private String to(String pair) {
        return day.address(pair.split("~")[1]);
    }

    private void cut(String pair, boolean on) {
        String[] two = pair.split("~");
        net.cut(day.address(two[0]), day.address(two[1]), on);
        checker.disturbed(day.address(two[0]), day.address(two[1]), on);
    }
}
