package slateseam.trial;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import slateseam.simulate.Fleet;
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
    private static final Set<FaultKind> UNTOLD = EnumSet.of(FaultKind.PAUSE, FaultKind.LIST_LATE, FaultKind.LIST_FROZEN,
            FaultKind.CUT, FaultKind.SILENCE);

    private final Day day;
    private final SocketNet net;
    private final Fleet fleet;
    private final Routers routers;
    private final DatagramLinks links;
    private final StreamLinks streams;
    private final Look look;
    private final Findings findings;
    private final History history;
    private long begin;

    TrialFaults(Day day, SocketNet net, Fleet fleet, Routers routers, DatagramLinks links, StreamLinks streams, Look look,
            Findings findings, History history) {
        this.day = day;
        this.net = net;
        this.fleet = fleet;
        this.routers = routers;
        this.links = links;
        this.streams = streams;
        this.look = look;
        this.findings = findings;
        this.history = history;
    }

    /** Sets all faults of the day. */
    void plan(long from, Crowd crowd) {
        begin = from;
        for (Fault fault : day.timeline().faults()) {
            net.at(begin + fault.at(), () -> {
                history.say("rig", "begins fault=\"" + fault + "\"");
                begin(fault, crowd);
            });
            if (fault.kind().lasts()) {
                net.at(begin + fault.until(), () -> {
                    history.say("rig", "ends fault=\"" + fault + "\"");
                    end(fault);
                });
            }
        }
    }

    private void begin(Fault fault, Crowd crowd) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH, REPLACE -> targets.forEach(fleet::crash);
            case ROUTER_KILL -> targets.forEach(router -> {
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
            case RUDE -> targets.forEach(word -> {
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
            case RELOAD -> targets.forEach(routers::reload);
            case RESET -> targets.forEach(machine -> streams.reset(machine, null));
            case DATAGRAM_LOSS -> links.lose(fault.size());
            case SURGE -> { } // drawn into the rate of the user agents
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
            case RUDE, SURGE -> { } // each ends by itself
            default -> lasting(fault, false);
        }
    }

    /** Those that are there or not, and take no size. */
    private void lasting(Fault fault, boolean on) {
        for (String target : fault.targets()) {
            switch (fault.kind()) {
                case PAUSE -> routers.child(target).signal(on ? "STOP" : "CONT");
                case ONE_WAY -> links.mute(target, on);
                case STALL -> links.stall(target, on);
                case CUT -> cut(target, on);
                case SILENCE -> silence(target, on);
                default -> throw new IllegalStateException("no trial plays " + fault.kind().word());
            }
        }
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
        long longest = day.routers().stream().mapToLong(Day.Router::agentSpreadNanos).max().orElse(0);
        findings.drains(host, net.now() + day.discovery().periodNanos() + longest);
    }
}
