package slateseam.simulate.tier;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.agreement.Admission;
import slateseam.tier.agreement.DurableState;
import slateseam.tier.agreement.Entry;
import slateseam.tier.agreement.Raft;
import slateseam.tier.agreement.RaftPort;
import slateseam.tier.agreement.RaftSettings;
import slateseam.tier.agreement.Rpc;
import slateseam.tier.agreement.Voter;

/**
 * Routers that agree on a log, on one thread and a virtual clock, each with a disk of its own. What each applies is held against what all
 * have applied, and who leads against the others.
 */
final class AgreementWorld {
    private static final long MILLI = 1_000_000L;
    /** After so long another router's memory is known, as polls tell it. */
    private static final long TOLD = 300 * MILLI;

    /** A router: its process, through its lives, and its disk. */
    private final class Node extends VirtualProcess implements RaftPort {
        final List<String> log = new ArrayList<>();
        Raft raft;
        boolean lost;
        long sent;

        Node(int index) {
            super(net, index);
        }

        @Override
        boolean isUp() {
            return raft != null;
        }

        @Override
        void persisted(long number) {
            raft.persisted(number);
        }

        @Override
        public void send(Voter to, Rpc message) {
            byte[] bytes = message.encode();
            Node target = nodes.get(to.router());
            sent++;
            net.post(index, to.router(), () -> target.arrives(() -> target.hear(bytes)));
        }

        private void hear(byte[] bytes) {
            raft.heard(net.now(), Rpc.decode(bytes));
            afterwards();
        }

        @Override
        public void apply(long index, Entry entry) {
            log.add(text(entry));
            if (entry.kind() == Entry.Kind.COMMAND) {
                committed.putIfAbsent(new String(entry.body(), java.nio.charset.StandardCharsets.US_ASCII), net.now());
            }
            applied(this, log.size());
        }

        @Override
        public byte[] state() {
            return String.join("\n", log).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        }

        @Override
        public void install(long index, byte[] state) {
            log.clear();
            if (state.length > 0) {
                log.addAll(List.of(new String(state, java.nio.charset.StandardCharsets.US_ASCII).split("\n")));
            }
            for (int i = 1; i <= log.size(); i++) {
                applied(this, i);
            }
        }

        @Override
        public byte[] content(byte[] hash, int length, int from) {
            return contents.get(ByteBuffer.wrap(hash));
        }

        @Override
        public byte[] offer(byte[] state) {
            byte[] hash = ByteBuffer.allocate(16)
                    .putInt(Arrays.hashCode(state))
                    .putInt(state.length)
                    .array();
            contents.put(ByteBuffer.wrap(hash), state);
            return hash;
        }

        @Override
        public void memoryLost(String why) {
            lost = true;
        }

        void afterwards() {
            if (lost) {
                lost = false;
                start(index, memory.begin(new Voter(index, ++memories)), false);
            }
            if (raft != null && raft.role() == Raft.Role.LEADER) {
                Integer other = leaders.putIfAbsent(raft.term(), index * 1_000 + life);
                if (other != null && other != index * 1_000 + life) {
                    broken("TWO_LEADERS", "term " + raft.term() + " has " + other + " and " + (index * 1_000 + life));
                }
            }
        }
    }

    private final TierNet net;
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final RaftSettings settings;
    private final Map<ByteBuffer, byte[]> contents = new HashMap<>();
    /** What all have applied, in order. */
    private final List<String> all = new ArrayList<>();

    private final Map<Long, Integer> leaders = new TreeMap<>();
    /** When each command was first applied anywhere. */
    private final Map<String, Long> committed = new HashMap<>();

    private final Map<String, Long> proposed = new HashMap<>();
    private final TreeSet<Integer> wanted = new TreeSet<>();
    private long memories;
    private MembersDay.Broken broken;

    AgreementWorld(int voters, int routers, long seed, Ways ways, RaftSettings settings) {
        random = new SplittableRandom(seed);
        net = new TierNet(random, ways);
        this.settings = settings;
        for (int i = 0; i < routers; i++) {
            nodes.add(new Node(i));
        }
        for (int i = 0; i < voters; i++) {
            wanted.add(i);
        }
        for (int i = 0; i < voters; i++) {
            start(i, nodes.get(i).memory.begin(new Voter(i, ++memories)), false);
        }
        nodes.get(0).raft.begin(1 + random.nextLong(Long.MAX_VALUE - 1));
        admit();
    }

    private static String text(Entry entry) {
        return entry.kind().name().charAt(0) + "" + entry.term() + ":"
                + (entry.kind() == Entry.Kind.COMMAND
                        ? new String(entry.body(), java.nio.charset.StandardCharsets.US_ASCII)
                        : Arrays.hashCode(entry.body()));
    }

    private void broken(String rule, String text) {
        if (broken == null) {
            broken = new MembersDay.Broken(
                    rule,
                    String.format(
                            java.util.Locale.ROOT, "at %.3f s: %s", (net.now() - MembersWorld.BEGIN) / 1e9, text));
        }
    }

    private void applied(Node by, int length) {
        String last = by.log.get(length - 1);
        if (all.size() >= length && !all.get(length - 1).equals(last)) {
            broken(
                    "APPLIED_OTHER",
                    "router " + by.index + " has entry " + length + " as " + last + ", another as "
                            + all.get(length - 1));
        } else if (all.size() < length) {
            all.add(last);
        }
    }

    private void start(int index, DurableState stable, boolean fromDisk) {
        Node node = nodes.get(index);
        node.begins();
        node.log.clear();
        node.raft = new Raft(settings, stable, fromDisk, net.now(), random.split(), node);
        node.tick(random.nextLong(VirtualProcess.TICK), () -> {
            node.raft.tick(net.now());
            node.afterwards();
        });
    }

    /** Whoever leads changes who votes, by what it has been told of memories. */
    private void admit() {
        Map<Integer, Long> told = new TreeMap<>();
        nodes.stream()
                .filter(node -> node.raft != null)
                .forEach(node -> told.put(node.index, node.raft.self().memory()));
        net.after(TOLD, () -> {
            for (Node node : nodes) {
                if (node.raft != null && !node.paused) {
                    Admission.look(node.raft, wanted, told);
                }
            }
            admit();
        });
    }

    /** The power is cut, or the process is killed. */
    void kill(int index) {
        Node node = nodes.get(index);
        node.raft = null;
        node.ends();
    }

    /** It starts with what its disk has. */
    void start(int index) {
        Node node = nodes.get(index);
        DurableState stable = node.memory.read();
        boolean had = stable != null;
        start(index, had ? stable : node.memory.begin(new Voter(index, ++memories)), had);
    }

    boolean isUp(int index) {
        return nodes.get(index).raft != null;
    }

    VirtualMemory memory(int index) {
        return nodes.get(index).memory;
    }

    /** It stands still, or goes on: with its clock first, then with what has come meanwhile. */
    void pause(int index, boolean on) {
        Node node = nodes.get(index);
        if (!on && node.paused && node.raft != null) {
            node.paused = false;
            node.raft.tick(net.now());
            node.afterwards();
            node.catchUp(() -> {});
        }
        node.paused = on;
    }

    /** Whoever takes itself for the leader is asked to append it. */
    void propose(String command) {
        for (Node node : nodes) {
            if (node.raft != null && !node.paused && node.raft.role() == Raft.Role.LEADER) {
                proposed.putIfAbsent(command, net.now());
                node.raft.propose(command.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            }
        }
    }

    /** Other routers are to vote. */
    void want(TreeSet<Integer> routers) {
        wanted.clear();
        wanted.addAll(routers);
        for (int router : routers) {
            if (nodes.get(router).raft == null && nodes.get(router).life == 0) {
                start(router);
            }
        }
    }

    TreeSet<Integer> wanted() {
        return new TreeSet<>(wanted);
    }

    /** When a command was proposed and when it was first applied; null if it never was. */
    long[] times(String command) {
        return committed.containsKey(command) ? new long[] {proposed.get(command), committed.get(command)} : null;
    }

    /** Whether all that are wanted are up, vote, and have applied the same. */
    boolean isWhole() {
        return wanted.stream()
                .allMatch(i -> nodes.get(i).raft != null
                        && nodes.get(i).log.size() == all.size()
                        && nodes.get(i).raft.seats().stream()
                                .map(Voter::router)
                                .toList()
                                .containsAll(wanted)
                        && nodes.get(i).raft.seats().contains(nodes.get(i).raft.self())
                        && nodes.get(i).raft.seats().size() == wanted.size());
    }

    /** Whether it votes with the memory that it has. */
    boolean isSeated(int index) {
        Raft raft = nodes.get(index).raft;
        // A leader alone may have written it down and lost it again.
        return raft != null
                && raft.role() != Raft.Role.UNSURE
                && 2
                                * nodes.stream()
                                        .filter(node -> node.raft != null
                                                && node.raft.seats().contains(raft.self()))
                                        .count()
                        > wanted.size();
    }

    int leader() {
        return nodes.stream()
                .filter(node -> node.raft != null && !node.paused && node.raft.role() == Raft.Role.LEADER)
                .max(java.util.Comparator.comparingLong(node -> node.raft.term()))
                .map(node -> node.index)
                .orElse(-1);
    }

    long sent() {
        return nodes.stream().mapToLong(node -> node.sent).sum();
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

    String look() {
        StringBuilder text = new StringBuilder();
        nodes.forEach(node -> text.append(node.index)
                .append(
                        node.raft == null
                                ? " down"
                                : " " + node.raft.role() + " term " + node.raft.term() + " seats " + node.raft.seats()
                                        + " applied " + node.log.size())
                .append("; "));
        return text.toString();
    }
}
