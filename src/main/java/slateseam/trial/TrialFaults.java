package slateseam.trial;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import slateseam.simulate.Cues;
import slateseam.simulate.Fleet;
import slateseam.simulate.ServiceByPhase;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.sockets.SocketNet;
import slateseam.standin.useragent.Crowd;
import slateseam.standin.useragent.RudeKind;

/** Brings a day's faults about on real processes, each at its time; on the stand-ins' thread. */
final class TrialFaults {
    /** After a pause or a silent agent: for what a router has to catch up with. */
    private static final long CATCH_UP_NANOS = 3_000_000_000L;
    /** While one of these lasts a router may not know what others were told. */
    private static final Set<FaultKind> UNTOLD = EnumSet.of(
            FaultKind.PAUSE,
            FaultKind.STARVE,
            FaultKind.LIST_LATE,
            FaultKind.LIST_FROZEN,
            FaultKind.CUT,
            FaultKind.SILENCE,
            FaultKind.REFUSE,
            FaultKind.STREAM_STALL,
            FaultKind.NARROW);

    private final Day day;
    private final SocketNet net;
    private final Fleet fleet;
    private final Routers routers;
    private final DatagramLinks links;
    private final StreamLinks streams;
    private final Look look;
    private final Findings findings;
    private final History history;
    private final ServiceByPhase phases;
    private final Cues cues;
    private final Crowd crowd;
    private long begin;

    TrialFaults(
            Day day,
            SocketNet net,
            Fleet fleet,
            Routers routers,
            DatagramLinks links,
            StreamLinks streams,
            Look look,
            Findings findings,
            History history,
            ServiceByPhase phases,
            Crowd crowd) {
        this.day = day;
        this.net = net;
        this.fleet = fleet;
        this.routers = routers;
        this.links = links;
        this.streams = streams;
        this.look = look;
        this.findings = findings;
        this.history = history;
        this.phases = phases;
        this.cues = new Cues(day.timeline().faults());
        this.crowd = crowd;
    }

    /** Sets all faults of the day. */
    void plan(long from) {
        begin = from;
        day.timeline().faults().stream()
                .filter(fault -> !(fault instanceof Fault.Cued))
                .forEach(this::plan);
    }

    private void plan(Fault fault) {
        net.at(begin + fault.at(), () -> {
            history.say("rig", "begins fault=\"" + fault + "\"");
            begin(fault);
        });
        if (fault.kind().lasts()) {
            net.at(begin + fault.until(), () -> {
                history.say("rig", "ends fault=\"" + fault + "\"");
                end(fault);
            });
        }
    }

    /** Whether a fault waits for a line of a log. */
    boolean waits() {
        return !cues.isEmpty();
    }

    /** A router's log has this line: what waited for it comes now. */
    void said(String router, String line) {
        for (Fault fault : cues.said(router, line, net.now() - begin)) {
            phases.origin(phases.at(net.now() - 1), fleet.origin().tallies());
            phases.come(fault);
            countOriginAt(fault.until());
            plan(fault);
        }
    }

    /** At the end of a phase. */
    void countOriginAt(long since) {
        net.at(
                begin + since,
                () -> phases.origin(phases.at(begin + since - 1), fleet.origin().tallies()));
    }

    private void begin(Fault fault) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH, REPLACE -> targets.forEach(fleet::crash);
            case ROUTER_KILL ->
                targets.forEach(router -> {
                    look.forget(router);
                    routers.child(router).signal("KILL");
                });
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), true);
            case ORIGIN_ERRORS -> fleet.origin().trouble(fault.size());
            case VOID -> fleet.copies().voidShare(fault.size(), day.streams().number("void " + fault.at()));
            case DRAIN -> targets.forEach(this::drain);
            case LIST_LATE -> targets.forEach(router -> fleet.agent(router).late((long) fault.size()));
            case LIST_FROZEN -> targets.forEach(router -> fleet.agent(router).freeze(true));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, fault.size()));
            case RUDE ->
                targets.forEach(word -> {
                    RudeKind kind = RudeKind.find(word);
                    crowd.rude(kind, (int) Math.ceil(day.rude().get(kind) * fault.size()), begin + fault.until());
                });
            case RESTART -> {
                for (int i = 0; i < targets.size(); i++) {
                    String router = targets.get(i);
                    net.at(begin + fault.at() + i * (long) fault.size(), () -> {
                        look.forget(router);
                        routers.restart(router);
                    });
                }
            }
            case POLICY_BEGIN, POLICY_CHANGE, POLICY_UNDO ->
                targets.forEach(router -> look.policy().does(fault.kind(), router));
            case RELOAD -> targets.forEach(routers::reload);
            case UPGRADE ->
                targets.forEach(router -> {
                    look.forget(router);
                    routers.upgrade(router);
                });
            case RESET -> targets.forEach(machine -> streams.reset(machine, null));
            case DATAGRAM_LOSS -> links.lose(fault.size());
            case DATAGRAM_LATE -> links.late((long) fault.size());
            case DATAGRAM_DOUBLE -> links.doubled(fault.size());
            case DATAGRAM_SWAP -> links.swap(fault.size());
            case STARVE -> targets.forEach(router -> routers.child(router).starve(fault.size()));
            case NARROW -> targets.forEach(pair -> streams.bound(first(pair), second(pair), fault.size()));
            case CLOCK_AHEAD -> targets.forEach(router -> routers.clockAhead(router, (long) fault.size()));
            case CLOCK_BEHIND -> targets.forEach(router -> routers.clockAhead(router, -(long) fault.size()));
            case DISK_EMPTY -> targets.forEach(routers::emptyDisk);
            case SURGE -> {} // drawn into the rate of the user agents
            default -> lasting(fault, true);
        }
        if (UNTOLD.contains(fault.kind())) {
            findings.excused(begin + fault.until() + (long) fault.size() + CATCH_UP_NANOS);
        }
    }

    private void end(Fault fault) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH -> targets.forEach(fleet::startAgain);
            case REPLACE -> targets.forEach(fleet::replace);
            case ROUTER_KILL -> targets.forEach(routers::start);
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), false);
            case ORIGIN_ERRORS -> fleet.origin().trouble(0);
            case DRAIN -> targets.forEach(fleet::crash);
            case LIST_LATE -> targets.forEach(router -> fleet.agent(router).late(0));
            case LIST_FROZEN -> targets.forEach(router -> fleet.agent(router).freeze(false));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, 0));
            case DATAGRAM_LOSS -> links.lose(0);
            case DATAGRAM_LATE -> links.late(0);
            case DATAGRAM_DOUBLE -> links.doubled(0);
            case DATAGRAM_SWAP -> links.swap(0);
            case STARVE -> targets.forEach(router -> routers.child(router).feed());
            case NARROW -> targets.forEach(pair -> streams.bound(first(pair), second(pair), 0));
            case CLOCK_AHEAD, CLOCK_BEHIND -> targets.forEach(router -> routers.clockAhead(router, 0));
            case RUDE, SURGE -> {} // each ends by itself
            default -> lasting(fault, false);
        }
    }

    /** Those that are there or not, and take no size. */
    private void lasting(Fault fault, boolean on) {
        if (fault.kind().isOfDisks()) {
            fault.targets().forEach(router -> routers.lie(router, fault, on));
            return;
        }
        for (String target : fault.targets()) {
            switch (fault.kind()) {
                case PAUSE -> routers.child(target).signal(on ? "STOP" : "CONT");
                case ONE_WAY -> links.mute(target, on);
                case STALL -> links.stall(target, on);
                case REFUSE -> streams.refuse(first(target), second(target), on);
                case STREAM_STALL -> streams.stall(first(target), second(target), on);
                case CUT -> cut(target, on);
                case SILENCE -> silence(target, on);
                default ->
                    throw new IllegalStateException(
                            "no trial plays " + fault.kind().word());
            }
        }
    }

    private static String first(String pair) {
        return pair.substring(0, pair.indexOf('~'));
    }

    private static String second(String pair) {
        return pair.substring(pair.indexOf('~') + 1);
    }

    /** Nothing passes between two; what hung meanwhile breaks at the end, as when a machine is back. */
    private void cut(String pair, boolean on) {
        String[] two = pair.split("~");
        if (two[0].startsWith("router-") && two[1].startsWith("router-")) {
            links.mute(pair, on);
            links.mute(two[1] + "~" + two[0], on);
            return;
        }
        streams.hold(two[0], two[1], on);
        if (!on) {
            streams.reset(two[0], two[1]);
        }
    }

    private void silence(String machine, boolean on) {
        streams.hold(machine, null, on);
        fleet.silent(machine, on);
        if (!on) {
            streams.reset(machine, null);
        }
    }

    private void drain(String server) {
        String host = fleet.server(server).name();
        fleet.drain(server);
        long longest = day.routers().stream()
                .mapToLong(Day.Router::agentSpreadNanos)
                .max()
                .orElse(0);
        findings.drains(host, net.now() + day.discovery().periodNanos() + longest);
    }
}
