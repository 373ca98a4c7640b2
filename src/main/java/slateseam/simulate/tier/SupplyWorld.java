package slateseam.simulate.tier;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import slateseam.decision.Api;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.CacheMode;
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Fail;
import slateseam.decision.Api.Group;
import slateseam.decision.Api.Holding;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.Refuse;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TimerFired;
import slateseam.decision.Brain;
import slateseam.simulate.tier.MembersWorld.Ways;

/**
 * Many decision modules that share one origin's budget, on one thread and a virtual clock; all chance comes from one
 * seed. Every request is a write, which needs one fetch of supply.
 */
public final class SupplyWorld {
    /** Fetches a second that the origin can do, for each router: what routers take for granted at their start. */
    public static final double CAPACITY = 40;

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long ORIGIN = 1;
    private static final long CACHE = 2;
    private static final long TICK = 10 * MILLI;
    private static final long AIM = 500 * MILLI;
    private static final long DEADLINE = SECOND;
    private static final int MOST_INBOX = 2_000;
    /** After that a debt that nobody remembered has been noticed, as all are heard again, and paid back. */
    private static final long REPAID = 15 * SECOND;
    /** Of a datagram, beside its payload. */
    private static final int HEADER_BYTES = 28;

    /** How a router is made: of which build, with which features. */
    public interface Maker {
        /** Makes the module of a router that has these settings. */
        Brain make(Settings settings, long seed);
    }

    /** What has happened since the counters were last cleared. */
    public static final class Tally {
        long asked;
        long served;
        long refused;
        long datagrams;
        long bytes;
    }

    private static final class Node {
        final int index;
        Maker maker;
        Brain brain;
        int life;
        boolean paused;
        /** What it owned when it was killed. */
        double lastOwned;
        /** What it told its heir last that it owns. */
        double toldHeir;
        /** By how much that was more than it owned at its end: its last moves were not told any more. */
        double toldTooMuch;

        double rate;
        long arrivals;
        final Deque<Runnable> inbox = new ArrayDeque<>();

        Node(int index) {
            this.index = index;
        }
    }

    /** Ledgers that went with both of their ends, and until when what they said may be used twice. */
    private record Lost(long until, double amount) {}

    private final TierNet net;
    private final List<Lost> lost = new ArrayList<>();
    private final SplittableRandom random;
    private final Node[] nodes;
    private final Tally tally = new Tally();
    private final SupplyBooks books = new SupplyBooks();
    private final SupplyOrigin origin;
    private long requests;

    /** A world of so many routers, none of which runs yet. */
    public SupplyWorld(int routers, long seed, Ways ways, Maker maker) {
        random = new SplittableRandom(seed);
        net = new TierNet(random, ways);
        nodes = new Node[routers];
        for (int i = 0; i < routers; i++) {
            nodes[i] = new Node(i);
            nodes[i].maker = maker;
        }
        origin = new SupplyOrigin(CAPACITY * routers, random);
    }

    static Settings settings(int me, int routers) {
        List<Api.RequestClass> classes =
                List.of(new Api.RequestClass("put", AIM, DEADLINE, 1, 0.5, Effect.TOKEN, Group.ALL, DEADLINE, false));
        return new Settings(
                me,
                routers,
                0,
                TICK,
                false,
                CacheMode.ASIDE,
                1,
                0.1,
                classes,
                List.of(),
                new Api.Limits(4, false, true, true, true, true, AIM, 100 * MILLI, 32),
                new Api.Rules(AIM, 10 * SECOND, 0.3, 8 * SECOND, 3, 2 * SECOND, 8 * MILLI));
    }

    /** How many routers there may be. */
    public int size() {
        return nodes.length;
    }

    /** The network between the routers. */
    TierNet net() {
        return net;
    }

    /** What the routers' books say, as they tell one another. */
    SupplyBooks books() {
        return books;
    }

    /** What has happened since this was last cleared. */
    public Tally tally() {
        return tally;
    }

    /** Counts from here on. */
    public void clearTally() {
        tally.asked = 0;
        tally.served = 0;
        tally.refused = 0;
        tally.datagrams = 0;
        tally.bytes = 0;
    }

    /** The router is of this make from its next start on. */
    public void make(int index, Maker maker) {
        nodes[index].maker = maker;
    }

    /** Requests that come to a router a second from now on. */
    public void demand(int index, double perSecond) {
        Node node = nodes[index];
        node.rate = perSecond;
        arrive(node, ++node.arrivals);
    }

    /** Starts a router, in a new life that remembers nothing. */
    public void start(int index) {
        Node node = nodes[index];
        node.life++;
        node.paused = false;
        node.inbox.clear();
        node.brain = node.maker.make(settings(index, nodes.length), random.nextLong());
        handle(node, new Started());
        handle(
                node,
                new MembersChanged(
                        ListKind.FULL,
                        List.of(
                                new Member(ORIGIN, 0, 1, 0, MemberState.READY, 1, 0),
                                new Member(CACHE, 0, 0, 0, MemberState.READY, 1, 0))));
    }

    /** Starts all of them. */
    public void startAll() {
        IntStream.range(0, nodes.length).forEach(this::start);
    }

    /** Its process ends at once. */
    public void kill(int index) {
        Node node = nodes[index];
        boolean counts = node.brain != null && node.brain.holding().joined();
        node.lastOwned = counts ? node.brain.holding().own() : node.lastOwned;
        loseLedgers(index);
        node.toldTooMuch = Math.max(0, node.toldHeir - node.lastOwned);
        node.brain = null;
        node.life++;
    }

    /** Those go for good whose other end is down too, or has not had them back since its start. */
    private void loseLedgers(int index) {
        double amount = 0;
        for (Node other : nodes) {
            if (other.brain == null || books.ledger(other.index, index) == 0) {
                amount += books.ledger(index, other.index);
            }
        }
        lost.add(new Lost(net.now() + REPAID, amount));
    }

    /** What ledgers said lately that went with both of their ends, in parts of the whole budget: so much is repaid late. */
    public double lostLedgers() {
        return lost.stream()
                .filter(one -> one.until > net.now())
                .mapToDouble(Lost::amount)
                .sum();
    }

    /** Whether it runs. */
    public boolean isUp(int index) {
        return nodes[index].brain != null;
    }

    /** It stands still, or goes on: first with its clock, then with what has come meanwhile. */
    public void pause(int index, boolean on) {
        Node node = nodes[index];
        node.paused = on;
        if (!on && node.brain != null) {
            handle(node, new TimerFired(0));
            while (!node.inbox.isEmpty()) {
                node.inbox.poll().run();
            }
        }
    }

    /** What a router holds of the origin's budget; null while it does not run. */
    public Holding holding(int index) {
        return nodes[index].brain == null ? null : nodes[index].brain.holding();
    }

    /**
     * What all own together by their books, in parts of the whole budget; one that has passed on what it inherited
     * owes that, also once it is gone.
     */
    public double owned() {
        double owned = 0;
        for (Node node : nodes) {
            boolean counts = node.brain != null && node.brain.holding().joined();
            owned += counts ? node.brain.holding().own() : Math.min(0, node.lastOwned);
        }
        return owned;
    }

    /** By how much heirs were told more than routers owned at the end of their last lives, in parts of the whole budget. */
    public double toldTooMuch() {
        return Arrays.stream(nodes).mapToDouble(node -> node.toldTooMuch).sum();
    }

    /** What all may use together, in parts of the whole budget. */
    public double used() {
        return Arrays.stream(nodes)
                .filter(node -> node.brain != null)
                .mapToDouble(node -> Math.max(0, node.brain.holding().usable()))
                .sum();
    }

    /** The part of the budget that would have to move for each router's part to be that of its requests, 0 to 1. */
    public double imbalance() {
        double demand = Arrays.stream(nodes).mapToDouble(node -> node.rate).sum();
        double used = used();
        return Arrays.stream(nodes)
                        .mapToDouble(node -> Math.abs(node.rate / demand
                                - (node.brain == null
                                        ? 0
                                        : Math.max(0, node.brain.holding().usable()) / used)))
                        .sum()
                / 2;
    }

    /** The budget as routers have learned it, in the mean, by what the origin can do. */
    public double learned() {
        return Arrays.stream(nodes)
                        .filter(node -> node.brain != null)
                        .mapToDouble(node -> node.brain.holding().rate())
                        .average()
                        .orElse(0)
                / (CAPACITY * nodes.length);
    }

    /** The time. */
    public long now() {
        return net.now();
    }

    /** Lets time pass. */
    public void run(long nanos) {
        net.run(nanos, () -> {});
    }

    /** The same with a look after each step. */
    public void run(long nanos, Runnable look) {
        net.run(nanos, look);
    }

    private void arrive(Node node, long generation) {
        if (node.rate <= 0) {
            return;
        }
        long gap = (long) (-Math.log(1 - random.nextDouble()) * SECOND / node.rate);
        net.after(gap, () -> {
            if (node.arrivals != generation) {
                return;
            }
            if (node.brain != null && !node.paused) {
                tally.asked++;
                handle(node, new RequestArrived(++requests, random.nextLong() | 1, 0, 0, true, false, 0, DEADLINE));
            }
            arrive(node, generation);
        });
    }

    private void handle(Node node, Event event) {
        List<Action> actions = new ArrayList<>();
        node.brain.handle(net.now(), event, actions::add);
        for (Action action : actions) {
            carryOut(node, action);
        }
    }

    private void carryOut(Node node, Action action) {
        if (action instanceof SetTimer timer) {
            later(node, timer.delayNanos(), new TimerFired(timer.tag()));
        } else if (action instanceof TellPeer tell) {
            post(node, tell);
        } else if (action instanceof Send send) {
            fetch(node, send);
        } else if (action instanceof Refuse || action instanceof Fail) {
            tally.refused++;
        }
    }

    /** Something happens to this life of a router a while later; what falls into its pause comes after it. */
    private void later(Node node, long delay, Event event) {
        int life = node.life;
        net.after(delay, () -> happen(node, life, event));
    }

    private void happen(Node node, int life, Event event) {
        if (node.life != life) {
            return;
        }
        if (!node.paused) {
            handle(node, event);
        } else if (node.inbox.size() < MOST_INBOX) {
            node.inbox.add(() -> happen(node, life, event));
        }
    }

    private void post(Node from, TellPeer tell) {
        tally.datagrams++;
        tally.bytes += tell.payload().length + HEADER_BYTES;
        books.told(from.index, tell.to(), tell.payload());
        Node to = nodes[tell.to()];
        Double own = SupplyBooks.own(tell.payload());
        if (own != null && tell.to() == (from.index + 1) % nodes.length) {
            from.toldHeir = own;
        }
        net.post(from.index, tell.to(), () -> {
            if (to.brain != null) {
                happen(to, to.life, new PeerMessage(from.index, tell.payload()));
            }
        });
    }

    private void fetch(Node node, Send send) {
        SupplyOrigin.Answer answer = origin.fetch(net.now());
        Outcome outcome = answer.served() ? Outcome.OK : Outcome.FULL;
        tally.served += answer.served() ? 1 : 0;
        later(
                node,
                answer.nanos(),
                new AttemptEnded(send.request(), send.member(), 0, outcome, false, answer.served(), answer.nanos()));
    }
}
