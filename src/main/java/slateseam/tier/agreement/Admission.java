package slateseam.tier.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides on the membership changes of a Raft group, which the leader makes one voter at a time: removes voters that have lost their
 * durable state, adds configured routers, and then removes voters that are not configured.
 */
public final class Admission {
    private Admission() {}

    /**
     * Proposes the next membership change if the local node is the leader and a change is due. Called periodically.
     *
     * @param wanted numbers of the routers that are configured to vote
     * @param memories for each reachable router, the identifier of its durable state as last reported
     * @return the log text of the proposed change, or null if none was proposed
     */
    public static String look(Raft raft, Set<Integer> wanted, Map<Integer, Long> memories) {
        if (raft.role() != Raft.Role.LEADER) {
            return null;
        }
        List<Voter> seats = raft.seats();
        List<Voter> coming = wanted.stream()
                .filter(memories::containsKey)
                .map(router -> new Voter(router, memories.get(router)))
                .filter(seat -> !seats.contains(seat))
                .sorted()
                .toList();
        raft.join(coming);
        // A voter that still answers keeps its seat: a delayed report about the router's earlier durable state must not
        // remove it.
        String left = without(
                raft,
                seats.stream()
                        .filter(seat -> raft.isSilent(seat)
                                && memories.getOrDefault(seat.router(), seat.memory()) != seat.memory()));
        if (left != null) {
            return left;
        }
        for (Voter seat : coming) {
            boolean hasOld = seats.stream().anyMatch(old -> old.router() == seat.router());
            if (!hasOld && raft.hasCaughtUp(seat) && seats.size() < Voter.MOST) {
                List<Voter> more = new ArrayList<>(seats);
                more.add(seat);
                return raft.change(more) ? "seat-taken seat=" + seat : null;
            }
        }
        // Voters that are no longer configured leave only after all configured ones have joined, so that the group is
        // never
        // smaller than necessary.
        boolean allIn = seats.stream().map(Voter::router).toList().containsAll(wanted);
        return allIn ? without(raft, seats.stream().filter(seat -> !wanted.contains(seat.router()))) : null;
    }

    /** Proposes to remove the first of the given voters. The leader is removed last, because it has to commit the other removals. */
    private static String without(Raft raft, Stream<Voter> going) {
        Voter first = going.min(Comparator.comparing((Voter seat) -> seat.equals(raft.self()))
                        .thenComparing(Voter::compareTo))
                .orElse(null);
        if (first == null || raft.seats().size() == 1) {
            return null;
        }
        List<Voter> fewer = new ArrayList<>(raft.seats());
        fewer.remove(first);
        return raft.change(fewer) ? "seat-left seat=" + first : null;
    }
}
