package slateseam.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.connections.useragents.Cause;
import slateseam.router.connections.useragents.UserAgentRoom;
import slateseam.router.control.Control;
import slateseam.router.control.Reply;
import slateseam.router.core.Core;
import slateseam.router.counts.ServiceCounts;
import slateseam.router.farm.Farm;
import slateseam.router.figures.Counts;
import slateseam.router.figures.Figures;
import slateseam.router.handover.Handover;
import slateseam.router.hot.HotList;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Clock;
import slateseam.router.net.Console;
import slateseam.router.net.Loop;
import slateseam.router.pass.Passes;
import slateseam.router.peer.Peers;
import slateseam.router.request.Names;
import slateseam.router.request.RequestObserver;
import slateseam.router.tap.Tap;
import slateseam.router.tier.SharedPolicy;
import slateseam.router.tier.Tier;
import slateseam.router.useragent.RespFront;
import slateseam.tier.policy.PolicyPort;

/** The optional parts of one router that its settings turn on, in the order in which they are called. */
final class Parts {
    /**
     * What a part may use of its router.
     *
     * @param names null if no feature is on
     * @param console null if no feature is on
     * @param sharesAddress whether another process of this router may listen at the same address
     * @param adopt puts settings into force
     */
    record Base(
            NodeConfig config,
            Features features,
            Loop loop,
            Core core,
            Passes passes,
            Farm farm,
            RespFront front,
            Lifecycle lifecycle,
            ServiceCounts served,
            Names names,
            Console console,
            boolean sharesAddress,
            Consumer<NodeConfig> adopt) {}

    private final List<Part> all = new ArrayList<>();
    /** Null if the configuration has no control address. */
    private final Control control;
    /** Null if the shared policy is off. */
    private final SharedPolicy policy;

    /**
     * Creates the parts. Some open their listeners, but no part starts before {@link #begin}.
     *
     * @param farmSource the source of the farm of this router
     * @param upgrade null if no other process of this router ever runs
     */
    Parts(Base base, ConfiguredFarmSource farmSource, Upgrade upgrade) throws IOException {
        Features features = base.features();
        control = base.config().control() == null ? null : control(base);
        Counts counts = features.figures() == null ? null : counts(base);
        add(features.hotList() == null ? null : hotList(base));
        add(counts == null ? null : figures(base, counts));
        add(features.tap() == null ? null : tap(base));
        add(control == null ? null : controlPart(control));
        add(farm(farmSource));
        Tier tier = features.tier() == null
                ? null
                : new Tier(features.tier(), base.config(), base.loop(), base.core()::happened);
        add(tier == null ? null : tier(tier));
        policy = features.policy() == null
                ? null
                : new SharedPolicy(
                        features.policy(),
                        base.config(),
                        base.loop(),
                        tier,
                        () -> {
                            long[][] tally = base.served().tally();
                            return new PolicyPort.Tally(tally[0], tally[1], tally[2][0]);
                        },
                        base.adopt());
        add(policy == null ? null : policy(policy, base));
        add(upgrade == null ? null : handover(upgrade));
        for (Part part : all) {
            if (counts != null) {
                part.addCounts(counts);
            }
            if (control != null) {
                part.addCalls(control);
            }
        }
    }

    /**
     * Returns the maximum number of descriptors that the parts hold, besides connections that count as user agents'.
     */
    static int descriptors(NodeConfig config, Features features, Handover handover) {
        return features.descriptors()
                + (config.control() == null ? 0 : Control.DESCRIPTORS)
                + (handover == null ? 0 : Handover.DESCRIPTORS);
    }

    private void add(Part part) {
        if (part != null) {
            all.add(part);
        }
    }

    private static Part hotList(Base base) {
        HotList list = new HotList(base.features().hotList(), base.loop(), base.names(), base.console());
        return new Part() {
            @Override
            public RequestObserver observer() {
                return list;
            }

            @Override
            public void show() {
                list.show();
            }
        };
    }

    private static Part figures(Base base, Counts counts) throws IOException {
        Figures figures = new Figures(base.features().figures(), base.loop(), base.names(), base.console(), counts);
        return new Part() {
            @Override
            public RequestObserver observer() {
                return figures;
            }

            @Override
            public void settingsChanged(NodeConfig changed) {
                figures.flushWhole(); // counts up to now belong to the old names
            }

            @Override
            public void stop() {
                figures.close();
            }
        };
    }

    private static Part tap(Base base) throws IOException {
        Features features = base.features();
        Tap tap = new Tap(
                features.tap(),
                base.loop(),
                Features.beside(base.config().listen(), features.tap().port()),
                base.sharesAddress(),
                base.names(),
                base.console(),
                base.config().seed());
        return new Part() {
            @Override
            public RequestObserver observer() {
                return tap;
            }

            @Override
            public InetSocketAddress address() throws IOException {
                return tap.address();
            }

            @Override
            public void close() throws IOException {
                tap.close();
            }
        };
    }

    private static Part controlPart(Control control) {
        return new Part() {
            @Override
            public void close() throws IOException {
                control.close();
            }

            @Override
            public boolean isBusy() {
                return control.hasCallers();
            }
        };
    }

    private static Part farm(ConfiguredFarmSource farmSource) {
        return new Part() {
            @Override
            public void stop() {
                farmSource.close();
            }
        };
    }

    private static Part tier(Tier tier) {
        return new Part() {
            @Override
            public void setPeers(Peers peers) {
                // Null once another process has taken over: that process is the same member, with a newer
                // incarnation.
                tier.talk(peers);
            }

            @Override
            public void addCounts(Counts counts) {
                tier.count(counts);
            }

            @Override
            public void addCalls(Control calls) {
                calls.on("GET", "/tier", () -> Reply.json(tier.json().toString()));
            }

            @Override
            public void stop() {
                tier.leave();
            }
        };
    }

    private static Part policy(SharedPolicy policy, Base base) {
        base.core().setServingCheck(policy::mayServe);
        base.lifecycle().setServingCheck(policy::mayServe);
        return new Part() {
            @Override
            public void setPeers(Peers peers) {
                policy.talk(peers);
            }

            @Override
            public void addCounts(Counts counts) {
                policy.count(counts);
            }

            @Override
            public void addCalls(Control calls) {
                calls.on("GET", "/policy", () -> Reply.json(policy.json().toString()))
                        .on("POST", "/policy/begin", () -> reply(policy.begin()))
                        .on("POST", "/policy/propose", () -> reply(policy.propose()))
                        .on("POST", "/policy/undo", () -> reply(policy.undo()));
            }
        };
    }

    private static Reply reply(String fault) {
        return fault == null ? Reply.yes("it is asked for") : Reply.no(fault);
    }

    /**
     * Returns the effective configuration: the given configuration of this router, overlaid with the policy of the
     * tier.
     */
    NodeConfig withPolicy(NodeConfig own) throws InvalidConfigException {
        return policy == null ? own : policy.over(own);
    }

    private static Part handover(Upgrade upgrade) {
        return new Part() {
            @Override
            public void begin() {
                upgrade.begin();
            }
        };
    }

    private static Control control(Base base) throws IOException {
        Loop loop = base.loop();
        Lifecycle lifecycle = base.lifecycle();
        return new Control(loop, base.config().control())
                .on(
                        "GET",
                        "/healthcheck",
                        () -> lifecycle.takesUserAgents()
                                ? Reply.yes("takes user agents")
                                : Reply.no("takes no user agents: " + lifecycle.state()))
                .on("GET", "/stats", () -> Reply.json(base.served().json()))
                .on("POST", "/healthcheck/fail", () -> {
                    boolean drained = lifecycle.drain();
                    loop.log().line("drained", "told to send user agents away" + (drained ? "" : ", but it ends"));
                    return drained ? Reply.yes("user agents are sent away") : Reply.no("it ends");
                })
                .on("POST", "/healthcheck/ok", () -> {
                    boolean serving = lifecycle.resume();
                    loop.log().line("resumed", "told to take user agents again" + (serving ? "" : ", but it ends"));
                    return serving ? Reply.yes("user agents are taken") : Reply.no("it ends");
                });
    }

    private static Counts counts(Base base) {
        Loop loop = base.loop();
        RespFront front = base.front();
        UserAgentRoom room = front.room();
        Counts counts = new Counts()
                .gauge("conns", front::connections)
                .gauge("servers_ready", base.farm()::readyServers)
                .gauge("loop_stall_ms", () -> (int) Math.min(Integer.MAX_VALUE, loop.takeStall() / Clock.MILLI))
                .gauge("input_bytes", () -> (int) loop.memory().inputBytes())
                .gauge("answer_bytes", () -> (int) loop.memory().answerBytes())
                .gauge("conns_idle", room::idle)
                .gauge("conns_ending", room::ending)
                .total("conns_opened", room.figures()::opened)
                .total("conns_reused", room.figures()::reused)
                .total("conns_crossed", room.figures()::crossed);
        for (Cause cause : Cause.values()) {
            counts.total(
                    "conns_ended",
                    "why",
                    cause.word(),
                    () -> room.figures().ended().get(cause));
        }
        return counts;
    }

    /** Starts all parts. */
    void begin() throws IOException {
        for (Part part : all) {
            part.begin();
        }
    }

    /**
     * Sets what sends and receives datagrams; null once another process of this router has taken over the messages.
     */
    void setPeers(Peers peers) {
        all.forEach(part -> part.setPeers(peers));
    }

    /** Notifies the parts that new settings have been put into force. */
    void settingsChanged(NodeConfig changed) {
        all.forEach(part -> part.settingsChanged(changed));
    }

    /** Closes the listeners of the parts during a planned shutdown. */
    void close() throws IOException {
        for (Part part : all) {
            part.close();
        }
    }

    /** Returns whether someone still waits for an answer of a part. */
    boolean isBusy() {
        return all.stream().anyMatch(Part::isBusy);
    }

    /** Stops all parts, just before the router stops. */
    void stop() {
        all.forEach(Part::stop);
    }

    /** Shows the present state of the parts, on request of the operators. */
    void show() {
        all.forEach(Part::show);
    }

    /** Returns the observers of requests that end. */
    List<RequestObserver> observers() {
        return all.stream().map(Part::observer).filter(Objects::nonNull).toList();
    }

    /** Returns the control address; may be called only if the configuration has one. */
    InetSocketAddress controlAddress() throws IOException {
        return control.address();
    }

    /** Returns the address of the first part that has a listener of its own; null if there is none. */
    InetSocketAddress address() throws IOException {
        for (Part part : all) {
            if (part.address() != null) {
                return part.address();
            }
        }
        return null;
    }
}
