package slateseam.tier.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Which changes of who votes the leader makes, one at a time: those without their memory go, those that are wanted come. */
public final class Admission {
    private Admission() {}

    /**
     * Looks whether a change is due; to be called now and then.
     *
     * @param wanted the routers that are to vote
     * @param memories the memory of each router that is there, as it said last
     * @return what was changed, for the log; null if nothing was
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
        // Guards against a late word of an old memory: the one that has the seat is heard.
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
        // Those that are wanted no longer go once the others are in, so that there are never fewer than need be.
        boolean allIn = seats.stream().map(Voter::router).toList().containsAll(wanted);
        return allIn ? without(raft, seats.stream().filter(seat -> !wanted.contains(seat.router()))) : null;
    }

    /** The one that leads goes last: it has to see the others' changes through. */
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
