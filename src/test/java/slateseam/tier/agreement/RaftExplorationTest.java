package slateseam.tier.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores the orders in which the messages of three voters are delivered or lost, up to a depth, with at most two elections, two
 * proposals, and one restart from disk. No term may have two leaders, and no two voters may apply different entries at the same index.
 */
class RaftExplorationTest {
    private static final int VOTERS = 3;
    private static final long GROUP = 7;
    private static final RaftSettings SETTINGS = new RaftSettings(100, 6, 1_000, false);
    private static final int ELECTIONS = 2;
    private static final int PROPOSALS = 2;
    private static final int RESTARTS = 1;
    private static final int HEARTBEATS = 1;
    private static final int MAX_MESSAGES_IN_FLIGHT = 5;

    /**
     * One step of an execution.
     *
     * @param kind 0 delivers a message, 1 lets the election timeout pass, 2 proposes a command, 3 restarts from disk, 4 sends a heartbeat
     * @param at position of the message in flight for kind 0, otherwise the router
     */
    private record Step(int kind, int at) {}

    /** Three routers and the messages between them, on which a path of steps is executed from the initial state. */
    private static final class Execution {
        final Raft[] rafts = new Raft[VOTERS];
        final List<List<DurableState.Change>> disks = new ArrayList<>();
        final long[] clocks = new long[VOTERS];
        final List<Rpc> inFlight = new ArrayList<>();
        final List<List<String>> applied = new ArrayList<>();
        final List<String> committed = new ArrayList<>();
        final Map<Long, Integer> leaders = new HashMap<>();
        final int[] counts = new int[5];
        String violation;

        Execution(List<Step> path) {
            List<Voter> seats = new ArrayList<>();
            for (int i = 0; i < VOTERS; i++) {
                seats.add(new Voter(i, 1));
            }
            for (int i = 0; i < VOTERS; i++) {
                disks.add(new ArrayList<>(List.of(
                        new DurableState.Begin(GROUP, seats.get(i)),
                        new DurableState.Snapshot(1, 1, seats, new byte[0]),
                        new DurableState.Term(1, null))));
                applied.add(new ArrayList<>());
                start(i, false);
            }
            path.forEach(this::step);
        }

        void start(int i, boolean fromDisk) {
            DurableState stable = new DurableState();
            disks.get(i).forEach(stable::apply);
            applied.get(i).clear();
            rafts[i] = new Raft(SETTINGS, stable, fromDisk, clocks[i], () -> 0L, new RaftPort() {
                @Override
                public void send(Voter to, Rpc message) {
                    inFlight.add(message);
                }

                @Override
                public void persist(long number, DurableState.Change change) {
                    disks.get(i).add(change);
                    if (rafts[i] != null) {
                        rafts[i].persisted(number);
                    }
                }

                @Override
                public void apply(long index, Entry entry) {
                    String text = entry.kind() + "" + entry.term() + Arrays.toString(entry.body());
                    List<String> own = applied.get(i);
                    own.add(text);
                    if (committed.size() < own.size()) {
                        committed.add(text);
                    } else if (!committed.get(own.size() - 1).equals(text)) {
                        violation = "router " + i + " applies " + text + " at the index of "
                                + committed.get(own.size() - 1);
                    }
                }

                @Override
                public byte[] state() {
                    return new byte[0];
                }

                @Override
                public void install(long index, byte[] state) {}

                @Override
                public byte[] content(byte[] hash, int length, int from) {
                    return null;
                }

                @Override
                public byte[] offer(byte[] state) {
                    return new byte[16];
                }

                @Override
                public void memoryLost(String why) {
                    violation = "router " + i + ": " + why;
                }
            });
        }

        void step(Step step) {
            int at = step.at;
            counts[step.kind]++;
            switch (step.kind) {
                case 0 -> {
                    Rpc message = inFlight.remove(at);
                    int to = message.head().to().router();
                    rafts[to].heard(clocks[to], message);
                }
                case 1 -> {
                    clocks[at] += 2 * SETTINGS.electionNanos();
                    rafts[at].tick(clocks[at]);
                    rafts[at].tick(clocks[at]);
                    // The first ticks count as a pause of this router, not as a silent leader.
                    if (rafts[at].role() == Raft.Role.FOLLOWER) {
                        clocks[at] += 2 * SETTINGS.electionNanos();
                        for (long t = clocks[at] - 2 * SETTINGS.electionNanos(); t <= clocks[at]; t += 200) {
                            rafts[at].tick(t);
                        }
                    }
                }
                case 2 -> rafts[at].propose(new byte[] {(byte) counts[2]});
                case 3 -> {
                    start(at, true);
                    // The other voters answer the recall request at once, so that the restarted one continues.
                    for (int other = 0; other < VOTERS; other++) {
                        if (other != at) {
                            rafts[at].heard(
                                    clocks[at],
                                    new Rpc.RecallReply(
                                            new Rpc.Head(GROUP, rafts[other].self(), rafts[at].self(), 0), 0, 0));
                        }
                    }
                    rafts[at].tick(clocks[at]);
                }
                default -> {
                    clocks[at] += SETTINGS.periodNanos();
                    rafts[at].tick(clocks[at]);
                }
            }
            for (int i = 0; i < VOTERS; i++) {
                if (rafts[i].role() == Raft.Role.LEADER
                        && !leaders.computeIfAbsent(rafts[i].term(), x -> -1).equals(i)) {
                    violation = leaders.put(rafts[i].term(), i) == -1
                            ? violation
                            : "two leaders in term " + rafts[i].term();
                }
            }
            while (inFlight.size() > MAX_MESSAGES_IN_FLIGHT) {
                inFlight.remove(0); // lost
            }
        }

        List<Step> enabledSteps() {
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i < inFlight.size(); i++) {
                steps.add(new Step(0, i));
            }
            for (int i = 0; i < VOTERS; i++) {
                boolean leads = rafts[i].role() == Raft.Role.LEADER;
                // All routers are equivalent before the first election.
                if (!leads && counts[1] < ELECTIONS && (counts[1] > 0 || i == 0)) {
                    steps.add(new Step(1, i));
                }
                if (leads && counts[2] < PROPOSALS) {
                    steps.add(new Step(2, i));
                }
                if (counts[3] < RESTARTS && counts[1] > 0) {
                    steps.add(new Step(3, i));
                }
                if (leads && counts[4] < HEARTBEATS) {
                    steps.add(new Step(4, i));
                }
            }
            return steps;
        }

        /** Returns a key of the state. States with equal keys have the same continuations; the order of messages in flight is ignored. */
        String stateKey() {
            StringBuilder text = new StringBuilder(Arrays.toString(counts)).append(committed);
            for (Raft raft : rafts) {
                text.append(raft.fingerprint()).append(';');
            }
            inFlight.stream()
                    .map(message -> Arrays.toString(message.encode()))
                    .sorted()
                    .forEach(text::append);
            return text.toString();
        }
    }

    /** Explores breadth-first up to a depth or number of states; returns the first path that violates a rule, or the number of states. */
    private static String explore(int depth, int maxStates) {
        Deque<List<Step>> unexplored = new ArrayDeque<>(List.of(List.of()));
        Set<Long> seen = new HashSet<>();
        int deepest = 0;
        while (!unexplored.isEmpty() && seen.size() < maxStates) {
            List<Step> path = unexplored.poll();
            Execution execution = new Execution(path);
            if (execution.violation != null) {
                return path + ": " + execution.violation;
            }
            String key = execution.stateKey();
            if (path.size() >= depth
                    || !seen.add(((long) key.hashCode() << 32)
                            ^ key.chars().asLongStream().reduce(7, (a, b) -> a * 1_000_003 + b))) {
                continue;
            }
            deepest = Math.max(deepest, path.size());
            for (Step step : execution.enabledSteps()) {
                List<Step> longer = new ArrayList<>(path);
                longer.add(step);
                unexplored.add(longer);
            }
        }
        return "held in " + seen.size() + " states, " + deepest + " steps deep"
                + (unexplored.isEmpty() ? "" : ", " + unexplored.size() + " unexplored");
    }

    /** Follows random paths, which are far longer than those of the exhaustive exploration. */
    private static String randomWalks(int walks, int depth) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(1);
        for (int i = 0; i < walks; i++) {
            List<Step> path = new ArrayList<>();
            Execution execution = new Execution(path);
            while (path.size() < depth && execution.violation == null) {
                List<Step> steps = execution.enabledSteps();
                if (steps.isEmpty()) {
                    break;
                }
                Step step = steps.get(random.nextInt(steps.size()));
                path.add(step);
                execution.step(step);
            }
            if (execution.violation != null) {
                return path + ": " + execution.violation;
            }
        }
        return "held in " + walks + " walks";
    }

    @Test
    void rulesHoldOnLongRandomPaths() {
        assertThat(randomWalks(20_000, 60)).startsWith("held in ");
    }

    @Test
    void rulesHoldForAllMessageOrdersWithinTheBounds() {
        assertThat(explore(9, 40_000)).startsWith("held in ");
    }

    public static void main(String[] args) {
        System.out.println(explore(Integer.parseInt(args[0]), Integer.parseInt(args[1])));
    }
}
