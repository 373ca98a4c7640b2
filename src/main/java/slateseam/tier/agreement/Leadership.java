package slateseam.tier.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Replication state that a leader keeps for its followers: up to which index each has the log, and which heartbeat round each has
 * answered last. A round is one broadcast of AppendEntries messages to all followers.
 */
final class Leadership {
    /** Maximum number of rounds whose send time is kept. */
    private static final int MAX_TRACKED_ROUNDS = 256;

    /** Replication state of one follower or of one router that is about to become a voter. */
    static final class Progress {
        /** Index of the next entry to send. */
        long next;
        /** Highest index up to which the follower is known to have the leader's log. */
        long match;
        /** The latest round in which the follower confirmed a matching log. */
        long matchRound;
        /** Whether the leader is still searching for the last index at which the logs agree; it then sends one message at a time. */
        boolean probing = true;

        /** The latest round that the follower has answered, with a matching log or not. */
        long answeredRound;
        /** Time in nanoseconds of the latest answer. */
        long answeredAt;

        Progress(long next, long now) {
            this.next = next;
            this.answeredAt = now; // gives a new follower one election timeout to answer
        }
    }

    private final Voter self;
    private final Map<Voter, Progress> progress = new HashMap<>();
    /** Send time of each recent round, by round number. */
    private final TreeMap<Long, Long> sentAt = new TreeMap<>();

    private List<Voter> joining = List.of();
    private long round;
    /** The first round after an entry of the leader's own term was committed; earlier the leader may not know the commit index. */
    private long readyRound = Long.MAX_VALUE;

    Leadership(Voter self) {
        this.self = self;
    }

    /** Starts a new round and returns its number. */
    long beginRound(long now) {
        sentAt.put(++round, now);
        if (sentAt.size() > MAX_TRACKED_ROUNDS) {
            sentAt.pollFirstEntry();
        }
        return round;
    }

    long round() {
        return round;
    }

    void join(Collection<Voter> seats) {
        joining = List.copyOf(seats);
    }

    /** Returns all receivers of the log: the other voters and the routers that are about to become voters. */
    List<Voter> followers(List<Voter> seats) {
        Map<Voter, Voter> all = new LinkedHashMap<>();
        seats.forEach(seat -> all.put(seat, seat));
        joining.forEach(seat -> all.put(seat, seat));
        all.remove(self);
        progress.keySet().retainAll(all.keySet());
        return new ArrayList<>(all.keySet());
    }

    Progress progressOf(Voter seat, long lastIndex, long now) {
        return progress.computeIfAbsent(seat, s -> new Progress(lastIndex + 1, now));
    }

    /** Returns the state of a follower, or null if the leader does not replicate to it. */
    Progress find(Voter seat) {
        return progress.get(seat);
    }

    void markReady() {
        readyRound = Math.min(readyRound, round + 1);
    }

    boolean isReady() {
        return readyRound != Long.MAX_VALUE;
    }

    /** Returns the greatest value that a majority of the voters has reached, with {@code own} as the value of the leader itself. */
    private long majorityValue(List<Voter> seats, long own, ToLongFunction<Progress> value) {
        List<Long> all = new ArrayList<>();
        for (Voter seat : seats) {
            Progress follower = progress.get(seat);
            all.add(seat.equals(self) ? own : follower == null ? 0 : value.applyAsLong(follower));
        }
        all.sort(Comparator.reverseOrder());
        return all.get(all.size() / 2);
    }

    /** Returns the highest index up to which a majority has the log. */
    long majorityMatch(List<Voter> seats, long own) {
        return majorityValue(seats, own, follower -> follower.match);
    }

    /** Returns whether a majority has answered since the given time (check-quorum). */
    boolean hasMajorityAnswered(List<Voter> seats, long now, long since) {
        return majorityValue(seats, now, follower -> follower.answeredAt) >= since;
    }

    /**
     * Returns the send time of the latest round that a majority has answered: at that time no leader of a later term had been elected.
     * Returns -1 if no such round is known or the leader does not know the commit index yet.
     */
    long provenAt(List<Voter> seats) {
        long answered = majorityValue(seats, round, follower -> follower.answeredRound);
        return answered >= readyRound ? sentAt.getOrDefault(answered, -1L) : -1;
    }
}
