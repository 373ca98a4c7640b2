package slateseam.tier.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The tree along which routers poll one another. Voters poll the leader. Routers that do not vote are ranked by their
 * number; the first ones poll the voters and the others poll routers of lower rank, so that each router is polled by
 * at most four of them. If its parent does not answer, a router polls a random other one.
 */
final class Tree {
    /** Number of non-voting routers that poll the same router. */
    private static final int BRANCHES = 4;
    /** Number of polls without a reply after which a router polls a random other router. */
    private static final int MAX_UNANSWERED_POLLS = 3;

    private final PolicySettings settings;
    private final RandomGenerator random;
    private Set<Integer> alive = Set.of();
    /** The routers in {@link #alive}, in ascending order. */
    private List<Integer> ordered = List.of();
    /** The routers of {@link #ordered} that neither vote nor are to vote, while {@link #learnersVoting} vote. */
    private List<Integer> learners = List.of();

    private Set<Integer> learnersVoting;
    private int unanswered;

    Tree(PolicySettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    void setAlive(Set<Integer> routers) {
        if (routers != alive && !routers.equals(alive)) {
            ordered = routers.stream().sorted().toList();
            learnersVoting = null;
        }
        alive = routers;
    }

    /** Records that a poll was sent. */
    void pollSent() {
        unanswered++;
    }

    /** Records that a reply was received. */
    void replyReceived() {
        unanswered = 0;
    }

    /**
     * Returns the router to poll while no group is known: a random one that has not answered yet, or else any other;
     * -1 for none.
     */
    int nextWithoutGroup(Set<Integer> answered) {
        List<Integer> open = new ArrayList<>(ordered);
        open.removeIf(router -> router == settings.me() || answered.contains(router));
        return open.isEmpty() ? parent(-1, Set.of()) : open.get(random.nextInt(open.size()));
    }

    private List<Integer> learners(Set<Integer> voting) {
        if (!voting.equals(learnersVoting)) {
            learnersVoting = Set.copyOf(voting);
            learners = ordered.stream()
                    .filter(router ->
                            !voting.contains(router) && !settings.voters().contains(router))
                    .toList();
        }
        return learners;
    }

    /** Returns the router to poll now; -1 for none. */
    int parent(int leader, Set<Integer> voting) {
        int me = settings.me();
        if (unanswered < MAX_UNANSWERED_POLLS) {
            if (leader >= 0
                    && leader != me
                    && (voting.contains(me) || settings.voters().contains(me))) {
                return leader;
            }
            List<Integer> above = new ArrayList<>(new TreeSet<>(voting));
            above.removeIf(router -> !alive.contains(router));
            List<Integer> below = learners(voting);
            int rank = Collections.binarySearch(below, me);
            if (rank >= 0 && !above.isEmpty()) {
                return rank < BRANCHES * above.size()
                        ? above.get(rank % above.size())
                        : below.get((rank - BRANCHES * above.size()) / BRANCHES);
            }
        }
        List<Integer> others = new ArrayList<>();
        for (int router = 0; router < settings.routers(); router++) {
            if (router != me && (alive.size() < 2 || alive.contains(router))) {
                others.add(router);
            }
        }
        return others.isEmpty() ? -1 : others.get(random.nextInt(others.size()));
    }
}
