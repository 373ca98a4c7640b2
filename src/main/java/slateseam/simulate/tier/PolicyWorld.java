package slateseam.simulate.tier;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.agreement.Raft;
import slateseam.tier.policy.Policy;
import slateseam.tier.policy.PolicyPort;
import slateseam.tier.policy.PolicySettings;
import slateseam.tier.policy.Version;

/**
 * Routers that share a policy, on one thread and a virtual clock. What each would serve by is looked at every 10 ms and held against
 * what was decided. Who is there is told as the members' view tells it: a death, a pause or a cut is known after a while.
 */
final class PolicyWorld {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long SAMPLE = 10 * MILLI;
    /** Until others know that one is not there. */
    private static final long KNOWN = 2_300 * MILLI;

    /** A document that only this router refuses begins so, its number behind it. */
    static final String REFUSED_BY = "refused by ";
    /** A document by which fewer are served. */
    static final String HURTS = "hurts";

    private final class Node extends VirtualProcess implements PolicyPort {
        Policy policy;
        /** Since when others cannot know that it is there; 0 if they can. */
        long apartSince;

        long backSince;
        boolean doubts;
        String document = "";
        int heldNumber;
        final long[] asked = new long[2];
        final long[] served = new long[2];
        long refused;
        long datagrams;
        long bytes;

        Node(int index) {
            super(net, index);
        }

        @Override
        boolean isUp() {
            return policy != null;
        }

        @Override
        void persisted(long number) {
            policy.persisted(number);
        }

        @Override
        public void send(int router, byte[] datagram) {
            Node target = nodes.get(router);
            datagrams++;
            bytes += datagram.length;
            net.post(index, router, () -> target.arrives(() -> target.policy.heard(net.now(), index, datagram)));
        }

        @Override
        public void forget(String why) {
            memory.empty();
        }

        @Override
        public String check(byte[] bytes) {
            String text = new String(bytes, StandardCharsets.UTF_8);
            return text.startsWith(REFUSED_BY + index + ";") ? "settings.profiles: class x has no name" : null;
        }

        @Override
        public void holds(Version version, byte[] bytes) {
            document = new String(bytes, StandardCharsets.UTF_8);
            if (version.number() < heldNumber) {
                broken("ORDER", "router " + index + " goes from version " + heldNumber + " to " + version.number());
            }
            heldNumber = version.number();
        }

        @Override
        public void tell(String kind, String text) {
            told.add(String.format(Locale.ROOT, "%.3f router %d %s %s", seconds(), index, kind, text));
        }

        @Override
        public long unixMillis() {
            return net.now() / MILLI;
        }

        @Override
        public Tally tally() {
            return new Tally(asked.clone(), served.clone(), refused);
        }

        boolean isServing() {
            return policy != null && !paused && policy.mayServe(net.now());
        }

        /** Its user agents ask, each 10 ms. */
        void ask() {
            for (int i = 0; i < asked.length && policy != null && !paused; i++) {
                asked[i]++;
                if (!policy.mayServe(net.now())) {
                    refused++;
                } else if (!document.contains(HURTS) || asked[i] % 5 == 0) {
                    served[i]++;
                }
            }
        }
    }

    /** What was decided of a version, and when that was first known anywhere. */
    record Decided(boolean committed, long at) {}

    private final TierNet net;
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Integer> voters = new TreeSet<>();
    private final Map<Integer, Decided> decided = new HashMap<>();
    private final List<String> told = new ArrayList<>();
    private final long bound;
    private MembersDay.Broken broken;
    private long mixedSince;
    /** Those that all others see until {@link #thereUntil}; null if they are to be worked out anew. */
    private Set<Integer> there;

    private long thereUntil;
    private long longestMixed;

    /** So many routers, all started, and a group of the first voters among them begun. */
    PolicyWorld(int voters, int routers, long seed, Ways ways, long bound) {
        random = new SplittableRandom(seed);
        net = new TierNet(random, ways);
        this.bound = bound;
        for (int i = 0; i < routers; i++) {
            nodes.add(new Node(i));
            if (i < voters) {
                this.voters.add(i);
            }
        }
        for (int i = 0; i < routers; i++) {
            start(i);
        }
        sample();
    }

    /** Begins the group at the first router once all have said that they know of none. */
    void begin() {
        String why = nodes.get(0).policy.begin();
        if (why != null) {
            net.after(100 * MILLI, this::begin);
        }
    }

    private double seconds() {
        return (net.now() - MembersWorld.BEGIN) / 1e9;
    }

    private void broken(String rule, String text) {
        if (broken == null) {
            broken = new MembersDay.Broken(rule, String.format(Locale.ROOT, "at %.3f s: %s", seconds(), text));
        }
    }

    void start(int index) {
        Node node = nodes.get(index);
        node.begins();
        node.document = "";
        node.heldNumber = 0;
        apart(node, 0);
        node.backSince = net.now();
        node.policy = new Policy(
                PolicySettings.usual(index, nodes.size(), voters), node.memory.read(), net.now(), random.split(), node);
        node.tick(random.nextLong(VirtualProcess.TICK), () -> {
            view(node);
            node.policy.tick(net.now());
        });
    }

    /** Those that all others see; one set for all, not to be changed: a set for each would cost the square of their number. */
    private Set<Integer> there() {
        if (there == null || net.now() >= thereUntil) {
            there = new HashSet<>();
            thereUntil = Long.MAX_VALUE;
            for (Node node : nodes) {
                if (node.apartSince == 0) {
                    there.add(node.index);
                } else if (net.now() - node.apartSince < KNOWN) {
                    there.add(node.index);
                    thereUntil = Math.min(thereUntil, node.apartSince + KNOWN);
                }
            }
        }
        return there;
    }

    private void apart(Node node, long since) {
        node.apartSince = since;
        there = null;
    }

    private void view(Node node) {
        Set<Integer> alive = there();
        if (!alive.contains(node.index)) {
            alive = new HashSet<>(alive);
            alive.add(node.index);
        }
        node.policy.view(alive, node.apartSince == 0 && !node.doubts);
    }

    void kill(int index) {
        Node node = nodes.get(index);
        node.policy = null;
        node.ends();
        apart(node, net.now());
    }

    boolean isUp(int index) {
        return nodes.get(index).policy != null;
    }

    VirtualMemory memory(int index) {
        return nodes.get(index).memory;
    }

    void pause(int index, boolean on) {
        Node node = nodes.get(index);
        if (on == node.paused) {
            return;
        }
        node.paused = on;
        node.backSince = net.now();
        apart(node, on ? net.now() : node.policy == null ? node.apartSince : 0);
        if (!on && node.policy != null) {
            look(node); // requests that came meanwhile are the first that it sees
            node.catchUp(() -> look(node));
        }
    }

    /** The others cannot know that it is there, or do again; it doubts itself. */
    void apart(int index, boolean on) {
        Node node = nodes.get(index);
        node.doubts = on;
        node.backSince = net.now();
        apart(
                node,
                on
                        ? node.apartSince == 0 ? net.now() : node.apartSince
                        : node.policy == null || node.paused ? node.apartSince : 0);
    }

    void doubts(int index, boolean on) {
        nodes.get(index).doubts = on;
        nodes.get(index).backSince = net.now();
    }

    /** Proposes something at a router; null if it is down. */
    Version propose(int index, String name, String document, boolean all, int watchSeconds) {
        Node node = nodes.get(index);
        return node.policy == null || node.paused
                ? null
                : node.policy.propose(name, document.getBytes(StandardCharsets.UTF_8), all, false, watchSeconds, 10);
    }

    void undo(int index) {
        if (nodes.get(index).policy != null) {
            nodes.get(index).policy.undo();
        }
    }

    Policy policy(int index) {
        return nodes.get(index).policy;
    }

    /** Who leads; -1 for nobody. */
    int leader() {
        return nodes.stream()
                .filter(node -> node.policy != null
                        && !node.paused
                        && node.policy.raft().role() == Raft.Role.LEADER)
                .max(java.util.Comparator.comparingLong(
                        node -> node.policy.raft().term()))
                .map(node -> node.index)
                .orElse(-1);
    }

    private void sample() {
        Set<Integer> serving = new HashSet<>();
        for (Node node : nodes) {
            node.ask();
            look(node);
            if (node.isServing()) {
                serving.add(node.heldNumber);
            }
        }
        if (serving.size() < 2) {
            mixedSince = 0;
        } else {
            mixedSince = mixedSince == 0 ? net.now() : mixedSince;
            longestMixed = Math.max(longestMixed, net.now() - mixedSince + SAMPLE);
        }
        net.after(SAMPLE, this::sample);
    }

    private void look(Node node) {
        if (node.policy == null) {
            return;
        }
        for (Version version : node.policy.versions().all()) {
            if (version.state() == Version.State.PROPOSED) {
                continue;
            }
            boolean committed = version.state() != Version.State.ABORTED;
            Decided known = decided.computeIfAbsent(version.number(), n -> new Decided(committed, net.now()));
            if (known.committed != committed) {
                broken("SPLIT", "version " + version.number() + " is committed and aborted");
            }
            if (committed && version.all() && known.at == net.now()) {
                String document = new String(contents(node, version), StandardCharsets.UTF_8);
                if (document.startsWith(REFUSED_BY) && !mayBePassedOver(document)) {
                    broken("REFUSED", "version " + version.number() + " is committed: " + document);
                }
            }
            if (committed && version.number() > node.heldNumber && node.isServing() && net.now() - known.at > bound) {
                broken(
                        "LATE",
                        String.format(
                                Locale.ROOT,
                                "router %d serves by version %d, %.3f s after version %d was committed",
                                node.index,
                                node.heldNumber,
                                (net.now() - known.at) / 1e9,
                                version.number()));
            }
        }
        for (Map.Entry<Integer, Decided> one : decided.entrySet()) {
            if (one.getValue().committed
                    && one.getKey() > node.heldNumber
                    && net.now() - one.getValue().at > bound
                    && node.isServing()) {
                broken(
                        "LATE",
                        String.format(
                                Locale.ROOT,
                                "router %d serves by version %d, %.3f s after version %d was committed",
                                node.index,
                                node.heldNumber,
                                (net.now() - one.getValue().at) / 1e9,
                                one.getKey()));
            }
        }
        Decided holds = decided.get(node.heldNumber);
        if (node.heldNumber != 0 && (holds == null || !holds.committed)) {
            broken("ABORTED_SERVED", "router " + node.index + " serves by version " + node.heldNumber);
        }
    }

    /** Whether the one that refuses it was away at some time in which it could have said so. */
    private boolean mayBePassedOver(String document) {
        Node node = nodes.get(Integer.parseInt(document.substring(REFUSED_BY.length(), document.indexOf(';'))));
        return node.policy == null
                || node.paused
                || node.apartSince != 0
                || node.doubts
                || net.now() - node.backSince < 10 * SECOND;
    }

    private static byte[] contents(Node node, Version version) {
        byte[] bytes = node.policy.documentOf(version);
        return bytes == null ? new byte[0] : bytes;
    }

    /** Whether all are up, serve, and by the same newest version. */
    boolean isWhole() {
        int newest = decided.entrySet().stream()
                .filter(one -> one.getValue().committed)
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
        return nodes.stream().allMatch(node -> node.isServing() && node.heldNumber == newest);
    }

    /** Whether all hold at least this version. */
    boolean isHeld(int number) {
        return nodes.stream().allMatch(node -> node.policy == null || node.heldNumber >= number && node.isServing());
    }

    Decided decided(int number) {
        return decided.get(number);
    }

    String held(int index) {
        return nodes.get(index).document;
    }

    /** For how long at the most two versions were served at once, in nanoseconds. */
    long longestMixed() {
        return longestMixed;
    }

    void forgetMixed() {
        longestMixed = 0;
    }

    long datagrams() {
        return nodes.stream().mapToLong(node -> node.datagrams).sum();
    }

    /** What each has sent, by number. */
    long[] datagramsOfEach() {
        return nodes.stream().mapToLong(node -> node.datagrams).toArray();
    }

    /** What each has sent, by number. */
    long[] bytesOfEach() {
        return nodes.stream().mapToLong(node -> node.bytes).toArray();
    }

    long bytes() {
        return nodes.stream().mapToLong(node -> node.bytes).sum();
    }

    long refused() {
        return nodes.stream().mapToLong(node -> node.refused).sum();
    }

    TierNet net() {
        return net;
    }

    int size() {
        return nodes.size();
    }

    MembersDay.Broken broken() {
        return broken;
    }

    List<String> told() {
        return told;
    }

    private String seats() {
        StringBuilder text = new StringBuilder();
        nodes.stream()
                .filter(node -> node.policy != null && voters.contains(node.index))
                .forEach(node -> text.append(node.policy.raft().self())
                        .append(" of ")
                        .append(node.policy.raft().seats())
                        .append(" term ")
                        .append(node.policy.raft().term())
                        .append("; "));
        return text.toString();
    }

    String look() {
        StringBuilder text = new StringBuilder();
        nodes.forEach(node -> text.append(node.index)
                .append(
                        node.policy == null
                                ? " down"
                                : " holds " + node.heldNumber
                                        + (node.isServing() ? " serves " : " refuses ")
                                        + node.policy.raft().role() + " age " + node.policy.age(net.now()) / MILLI
                                        + " newest "
                                        + (node.policy.versions().newest() == null
                                                ? 0
                                                : node.policy
                                                        .versions()
                                                        .newest()
                                                        .number()))
                .append("; "));
        return text + "seats " + seats();
    }
}
