package slateseam.simulate;

import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import org.json.JSONObject;
import slateseam.decision.SupplyLinks;
import slateseam.router.Router;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Clock;
import slateseam.router.net.Log;
import slateseam.simulate.check.Checker;
import slateseam.simulate.check.RouterAddresses;
import slateseam.simulate.network.Program;
import slateseam.simulate.network.VirtualNetwork;
import slateseam.simulate.network.VirtualProvider;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.RouterConfig;

/** A router's program through its starts and ends, as its platform handles it. */
final class RouterProcess {
    /** Of the memory that a router is given, this is its heap. */
    private static final double HEAP_PART = 0.5;
    /** After a planned end is announced, the program is killed no sooner than the longest deadline and this. */
    private static final long KILL_NANOS = 700_000_000L;

    private static final long LEAST_DEADLINE_NANOS = 3_000_000_000L;

    private static final long TIER_PERIOD_NANOS = 200_000_000L;
    private static final long LINKS_PAUSE_NANOS = 500_000_000L;
    private static final long TIER_FORGET_NANOS = 3_600_000_000_000L;

    private final VirtualNetwork net;
    private final Day day;
    private final Day.Router place;
    private final RouterConfig configs;
    private final Checker checker;
    private final BiConsumer<String, String> log;
    private Router router;
    private VirtualProvider process;
    private JSONObject known;
    private int starts;
    private boolean moved;
    private boolean starting;
    /** By how much its clock is to be ahead from its next start on. */
    private long ahead;

    RouterProcess(
            VirtualNetwork net,
            Day day,
            Day.Router place,
            RouterConfig configs,
            Checker checker,
            BiConsumer<String, String> log,
            JSONObject known) {
        this.net = net;
        this.day = day;
        this.place = place;
        this.configs = configs;
        this.checker = checker;
        this.log = log;
        this.known = known;
    }

    String name() {
        return place.name();
    }

    boolean isUp() {
        return router != null;
    }

    /** Descriptors that it holds now. */
    int descriptors() {
        return process == null ? 0 : process.open();
    }

    /** Starts it, with the list that it had last. */
    void start() {
        starting = false;
        if (isUp()) {
            return;
        }
        checker.routerStarts(
                new RouterAddresses(
                        place.name(),
                        place.address(),
                        place.listen(),
                        day.routerRules().messages() ? place.peerListen() : null,
                        List.of(place.discovery(false), place.discovery(true))),
                known);
        process = net.provider(place.address());
        long off = ahead;
        Clock clock = () -> net.now() + off;
        try {
            Router started = new Router(
                    config(),
                    features(),
                    new Router.Place(process, (long) (day.routerRules().memoryBytes() * HEAP_PART), null, null),
                    clock,
                    new Log(place.name(), clock, line -> log.accept(place.name(), line)),
                    null);
            router = started;
            VirtualProvider own = process;
            process.drive(new Program() {
                @Override
                public boolean round() {
                    return RouterProcess.this.round(started, own);
                }

                @Override
                public long nextDeadline() {
                    return started.loop().nextDeadline() - off;
                }
            });
        } catch (IOException e) {
            checker.crashed(place.name(), "it did not start: " + e.getMessage());
            process.kill();
            router = null;
        }
        starts++;
    }

    private Features features() {
        Day.RouterRules rules = day.routerRules();
        Features.Tier tier = rules.hasTier()
                ? new Features.Tier(
                        "slateseam",
                        TIER_PERIOD_NANOS,
                        8,
                        TIER_FORGET_NANOS,
                        true,
                        rules.tier().equals("keep"))
                : null;
        SupplyLinks links =
                rules.supplyLinks() && rules.messages() ? new SupplyLinks(true, LINKS_PAUSE_NANOS) : SupplyLinks.OFF;
        return new Features(null, null, null, null, null, null, tier, null, 1, links);
    }

    private NodeConfig config() {
        try {
            return NodeConfig.parse(configs.text(place, starts, moved, known));
        } catch (InvalidConfigException e) {
            throw new IllegalStateException("the simulation wrote a configuration that cannot be used", e);
        }
    }

    private boolean round(Router running, VirtualProvider own) {
        try {
            running.loop().round(0);
            checker.descriptors(place.name(), own.open());
        } catch (IOException | RuntimeException e) {
            checker.crashed(place.name(), "its loop threw " + e);
            own.kill();
            router = null;
            return false;
        }
        if (running.loop().isStopped()) {
            router = null;
            return false;
        }
        return true;
    }

    /** Kills it outright; it comes back when it is started, knowing the list that its agent last told. */
    void kill(JSONObject lastList) {
        if (isUp()) {
            known = lastList;
            checker.routerKilled(place.name());
            process.kill();
            router = null;
        }
    }

    /** Begins a planned restart: it is told to end, and started again once it has ended or its time is up. */
    void restart(JSONObject lastList) {
        if (!isUp()) {
            return;
        }
        known = lastList;
        checker.routerEnding(place.name());
        Router ending = router;
        ending.end();
        long longest = Math.max(LEAST_DEADLINE_NANOS, day.longestDeadlineNanos()) + KILL_NANOS;
        awaitEnd(ending, net.now() + longest);
    }

    private void awaitEnd(Router ending, long killAt) {
        if (router == ending && net.now() >= killAt) {
            checker.routerKilledLate(place.name());
            process.kill();
            router = null;
        }
        if (router != ending) {
            if (!isUp() && !starting) {
                startSoon();
            }
        } else {
            net.at(net.now() + 10_000_000L, () -> awaitEnd(ending, killAt));
        }
    }

    /** Starts it, once its start has taken its time. */
    void startSoon() {
        starting = true;
        net.at(net.now() + place.startNanos(), this::start);
    }

    /** Its agent has moved, and it is told to read its configuration again. */
    void reload() {
        moved = true;
        if (isUp()) {
            router.reload(config());
        }
    }

    /** It stands still, or goes on; one that was killed meanwhile starts as usual. */
    void pause(boolean stop) {
        if (isUp()) {
            process.pause(stop);
        }
    }

    /** Its clock is ahead by so much, or behind if negative, from its next start on. */
    void clockAhead(long nanos) {
        ahead = nanos;
    }

    boolean hasMoved() {
        return moved;
    }
}
