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
        List<Voter> joining = wanted.stream()
                .filter(memories::containsKey)
                .map(router -> new Voter(router, memories.get(router)))
                .filter(seat -> !seats.contains(seat))
                .sorted()
                .toList();
        raft.join(joining);
        // A voter that still answers keeps its seat: a delayed report about the router's earlier durable state must not
        // remove it.
        String removed = remove(
                raft,
                seats.stream()
                        .filter(seat -> raft.isSilent(seat)
                                && memories.getOrDefault(seat.router(), seat.memory()) != seat.memory()));
        if (removed != null) {
            return removed;
        }
        for (Voter seat : joining) {
            boolean hasEarlier = seats.stream().anyMatch(earlier -> earlier.router() == seat.router());
            if (!hasEarlier && raft.hasCaughtUp(seat) && seats.size() < Voter.MOST) {
                List<Voter> added = new ArrayList<>(seats);
                added.add(seat);
                return raft.change(added) ? "seat-taken seat=" + seat : null;
            }
        }
        // Voters that are no longer configured leave
        // only after all configured ones have joined, so
        // that the group is never smaller than necessary.
        boolean allJoined = seats.stream().map(Voter::router).toList().containsAll(wanted);
        return allJoined ? remove(raft, seats.stream().filter(seat -> !wanted.contains(seat.router()))) : null;
    }

    /** Proposes to remove the first of the given voters. The leader is removed last, because it has to commit the other removals. */
    private static String remove(Raft raft, Stream<Voter> leaving) {
        Voter first = leaving.min(Comparator.comparing((Voter seat) -> seat.equals(raft.self()))
                        .thenComparing(Voter::compareTo))
                .orElse(null);
        if (first == null || raft.seats().size() == 1) {
            return null;
        }
        List<Voter> remaining = new ArrayList<>(raft.seats());
        remaining.remove(first);
        return raft.change(remaining) ? "seat-left seat=" + first : null;
    }
}
