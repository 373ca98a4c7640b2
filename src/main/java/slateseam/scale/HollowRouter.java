package slateseam.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Set;
import java.util.function.Consumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.MembersChanged;
import slateseam.decision.Api.Retuned;
import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.Subscribe;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TimerFired;
import slateseam.decision.Brain;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.farm.Watch;
import slateseam.router.net.Loop;
import slateseam.router.peer.Peers;
import slateseam.router.tier.SharedPolicy;
import slateseam.router.tier.Tier;
import slateseam.tier.members.Change;
import slateseam.tier.policy.PolicyPort;

/**
 * A router without its data path: members, policy, the decision module with its ring, and discovery's watch, as they are shipped, on
 * a loop that it shares with others. All calls belong on that loop's thread.
 */
final class HollowRouter {
    /** What an observer of all hollow routers is told; on any of their threads. */
    interface Observer {
        /** A router's view of the tier changed. */
        void changed(int router, Change change, long nanos);

        /** A router runs by another version of the policy. */
        void holds(int router, long nanos);
    }

    private final NodeConfig config;
    private final Features features;
    private final Loop loop;
    private final Observer observer;
    private final Farm farm;
    private final Watch watch;
    /** Counts starts, so that timers of an earlier life do nothing. */
    private int life;
    /** Null while it is down, as are the others. */
    private Brain brain;

    private Peers peers;
    private Tier tier;
    private SharedPolicy policy;

    HollowRouter(NodeConfig config, Features features, Loop loop, Observer observer) {
        this.config = config;
        this.features = features;
        this.loop = loop;
        this.observer = observer;
        this.farm = new Farm(config.zones(), config.kinds(), config.settings().originKind());
        this.watch = new Watch(loop, config.discovery(), farm, config.seed(), this::decide);
    }

    int number() {
        return config.settings().me();
    }

    boolean isUp() {
        return tier != null;
    }

    /** Begins a life; one that is up goes on as it is. */
    void start() {
        if (isUp()) {
            return;
        }
        life++;
        try {
            peers = new Peers(loop, config.peerListen(), config.peers(), null, this::decide);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        brain = new Brain(config.settings(), config.seed());
        decide(new Started());
        decide(new MembersChanged(
                ListKind.CACHED, farm.entries().stream().map(Farm.Entry::member).toList()));
        tier = new Tier(features.tier(), config, loop, this::decide);
        tier.observe(change -> observer.changed(number(), change, loop.now()));
        tier.talk(peers);
        if (features.policy() != null) {
            policy = new SharedPolicy(features.policy(), config, loop, tier, this::nothingServed, this::adopt);
            policy.talk(peers);
        }
        watch.begin();
    }

    /** Ends without a word, as a process that is killed. Its watch of discovery goes on, for the next life. */
    void kill() {
        if (!isUp()) {
            return;
        }
        life++;
        tier.talk(null);
        if (policy != null) {
            policy.talk(null);
        }
        try {
            peers.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        brain = null;
        peers = null;
        tier = null;
        policy = null;
    }

    /** Says that it ends, and ends. */
    void leave() {
        if (isUp()) {
            tier.leave();
            kill();
        }
    }

    /** The numbers of the routers that it sees, itself among them; none while it is down. */
    Set<Integer> present() {
        return isUp() ? tier.present() : Set.of();
    }

    private PolicyPort.Tally nothingServed() {
        int classes = config.settings().classes().size();
        return new PolicyPort.Tally(new long[classes], new long[classes], 0);
    }

    private void adopt(NodeConfig changed) {
        decide(new Retuned(changed.settings()));
        observer.holds(number(), loop.now());
    }

    private void decide(Event event) {
        if (brain != null) {
            Consumer<Action> actions = this::carryOut;
            brain.handle(loop.now(), event, actions);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof SetTimer timer) {
            int of = life;
            loop.after(timer.delayNanos(), () -> {
                if (of == life) {
                    decide(new TimerFired(timer.tag()));
                }
            });
        } else if (action instanceof TellPeer message) {
            peers.send(message.to(), message.payload());
        } else if (action instanceof Subscribe) {
            watch.begin();
        }
    }
}
