package slateseam.trial;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import slateseam.simulate.ServiceByPhase;
import slateseam.simulate.check.Supplies;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.sockets.SocketNet;

/** Looks again and again at the rig itself, at the processes, at how supply is used, and at the routers' figures. */
final class Look {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long TICK_NANOS = 20 * MILLI;
    private static final long SAMPLE_NANOS = 250 * MILLI;
    /** While one of these lasts a part of the budget may be used twice, or by nobody. */
    private static final Set<FaultKind> UNHEARD = EnumSet.of(
            FaultKind.ROUTER_KILL,
            FaultKind.RESTART,
            FaultKind.PAUSE,
            FaultKind.STARVE,
            FaultKind.ONE_WAY,
            FaultKind.STALL,
            FaultKind.DATAGRAM_LOSS,
            FaultKind.CUT,
            FaultKind.DATAGRAM_LATE);

    private static final long SETTLED_NANOS = 6 * SECOND;
    /** Of the budget; what is under way between two routers counts at neither or, for a moment, at both. */
    private static final double MOST_USED = 1.3;

    private static final int OVERSPENT_SAMPLES = 8;

    private final Day day;
    private final SocketNet net;
    private final Routers routers;
    private final Findings findings;
    private final History history;
    private final Supplies supplies = new Supplies();
    /** Whose figures were asked for and have not come; one that stands still is not asked again and again. */
    private final Set<String> asked = new HashSet<>();

    private final TierLook tier;
    /** Null where no policy is shared. */
    private final PolicyLook policy;

    private ServiceByPhase phases;
    private ServiceLook service;
    private long begin;
    private long lastTick;
    private long stoodStill;
    private int overspent;
    private boolean over;

    Look(Day day, SocketNet net, Routers routers, Findings findings, History history) {
        this.day = day;
        this.net = net;
        this.routers = routers;
        this.findings = findings;
        this.history = history;
        this.tier = new TierLook(day, net, routers, findings, history);
        this.policy = PolicyLook.isIn(day) ? new PolicyLook(day, net, routers, findings, history) : null;
    }

    void start(long from, ServiceByPhase told, ServiceLook served) {
        begin = from;
        phases = told;
        service = served;
        tier.start(told);
        if (policy != null) {
            policy.start();
        }
        lastTick = net.now();
        tick();
        sample();
        askForFigures();
    }

    /** Looks no more. */
    void end() {
        over = true;
        service.atTheEnd(day.routers().size(), findings);
        if (policy != null) {
            policy.atTheEnd(net.now() - begin);
        }
        if (day.routerRules().hasTier()) {
            tier.atTheEnd();
        }
    }

    /** A change of the shared policy. */
    PolicyLook policy() {
        return policy;
    }

    /** For how long the rig itself stood still at the longest. */
    long stoodStill() {
        return stoodStill;
    }

    /** A datagram was sent; by whichever thread. */
    void told(String from, byte[] bytes) {
        synchronized (supplies) {
            supplies.told(from, bytes, net.now());
        }
    }

    /** A router is about to end, and what it used with it. */
    void forget(String router) {
        synchronized (supplies) {
            supplies.forget(router);
        }
    }

    private void again(long nanos, Runnable action) {
        if (!over) {
            net.at(net.now() + nanos, action);
        }
    }

    private void tick() {
        stoodStill = Math.max(stoodStill, net.now() - lastTick - TICK_NANOS);
        lastTick = net.now();
        routers.all().stream()
                .filter(RouterChild::hasCrashed)
                .forEach(child -> findings.add(
                        "crash",
                        child.name(),
                        "it ended with status " + child.status() + "; its log: " + routers.log(child.name())));
        again(TICK_NANOS, this::tick);
    }

    private void sample() {
        synchronized (supplies) {
            if (!supplies.last().isEmpty()) {
                phases.at(net.now())
                        .supply(
                                supplies.used(),
                                supplies.last().values().stream()
                                        .mapToDouble(Supplies.Supply::held)
                                        .max()
                                        .orElse(0));
                overspent = supplies.used() > MOST_USED && !isUnheard() ? overspent + 1 : 0;
                if (overspent == OVERSPENT_SAMPLES) {
                    findings.add(
                            "supply",
                            "routers",
                            String.format(
                                    Locale.ROOT,
                                    "they use %.2f of the budget together, and no fault"
                                            + " keeps them from hearing one another",
                                    supplies.used()));
                }
            }
        }
        again(SAMPLE_NANOS, this::sample);
    }

    /** Whether a fault keeps routers from hearing one another, or did until lately. */
    private boolean isUnheard() {
        long since = net.now() - begin;
        return phases.faults().stream()
                .filter(fault -> UNHEARD.contains(fault.kind()))
                .anyMatch(fault -> fault.at() <= since
                        && since
                                <= fault.until()
                                        + (long)
                                                (fault.kind() == FaultKind.RESTART
                                                        ? fault.size()
                                                                * fault.targets()
                                                                        .size()
                                                        : 0)
                                        + SETTLED_NANOS);
    }

    private void askForFigures() {
        for (Day.Router router : day.routers()) {
            if (routers.child(router.name()).isAlive() && asked.add(router.name())) {
                net.connect("rig", routers.control(router.name()), new StatsCall("/stats", figures -> {
                    asked.remove(router.name());
                    if (figures != null) {
                        service.attempts(router.name(), figures.optLong("dispatches"));
                    }
                    history.say(
                            router.name(),
                            figures == null
                                    ? "figures=none"
                                    : String.join(
                                            " ",
                                            List.of(
                                                            "concurrent",
                                                            "targets",
                                                            "targets_disabled",
                                                            "reload_success",
                                                            "reload_failure",
                                                            "dispatches")
                                                    .stream()
                                                    .map(name -> name + "=" + figures.optLong(name))
                                                    .toList()));
                }));
            }
        }
        if (day.routerRules().hasTier()) {
            tier.ask(net.now() - begin);
        }
        again(SECOND, this::askForFigures);
    }
}
