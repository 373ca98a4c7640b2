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

/** What a leader knows of those that follow it: how far each has the log, and which of its rounds each has answered. */
final class Leadership {
    private static final int MOST_ROUNDS = 256;

    /** One follower, or one that is to become one. */
    static final class Progress {
        long next;
        long match;
        /** The round in which it said so last. */
        long matchRound;
        /** Whether it is being found out up to where it has the log: then one message at a time is under way. */
        boolean probing = true;

        long answeredRound;
        long answeredAt;

        Progress(long next, long now) {
            this.next = next;
            this.answeredAt = now; // it gets the time of an election to answer
        }
    }

    private final Voter self;
    private final Map<Voter, Progress> progress = new HashMap<>();
    /** When each of the last rounds was sent. */
    private final TreeMap<Long, Long> sent = new TreeMap<>();

    private List<Voter> joining = List.of();
    private long round;
    /** The first round after an entry of its own term was committed: before that it may not know what is. */
    private long readyRound = Long.MAX_VALUE;

    Leadership(Voter self) {
        this.self = self;
    }

    /** A round begins; its number. */
    long begin(long now) {
        sent.put(++round, now);
        if (sent.size() > MOST_ROUNDS) {
            sent.pollFirstEntry();
        }
        return round;
    }

    long round() {
        return round;
    }

    void join(Collection<Voter> seats) {
        joining = List.copyOf(seats);
    }

    /** All that it sends to: those that vote, and those that are to. */
    List<Voter> followers(List<Voter> seats) {
        Map<Voter, Voter> all = new LinkedHashMap<>();
        seats.forEach(seat -> all.put(seat, seat));
        joining.forEach(seat -> all.put(seat, seat));
        all.remove(self);
        progress.keySet().retainAll(all.keySet());
        return new ArrayList<>(all.keySet());
    }

    Progress of(Voter seat, long lastIndex, long now) {
        return progress.computeIfAbsent(seat, s -> new Progress(lastIndex + 1, now));
    }

    /** Null for one that it does not send to. */
    Progress find(Voter seat) {
        return progress.get(seat);
    }

    void ready() {
        readyRound = Math.min(readyRound, round + 1);
    }

    boolean isReady() {
        return readyRound != Long.MAX_VALUE;
    }

    /** The greatest figure that a majority has reached. */
    private long ofMajority(List<Voter> seats, long own, ToLongFunction<Progress> figure) {
        List<Long> all = new ArrayList<>();
        for (Voter seat : seats) {
            Progress one = progress.get(seat);
            all.add(seat.equals(self) ? own : one == null ? 0 : figure.applyAsLong(one));
        }
        all.sort(Comparator.reverseOrder());
        return all.get(all.size() / 2);
    }

    /** Up to where a majority has the log. */
    long matched(List<Voter> seats, long own) {
        return ofMajority(seats, own, one -> one.match);
    }

    /** Whether a majority has answered since then. */
    boolean isHeard(List<Voter> seats, long now, long since) {
        return ofMajority(seats, now, one -> one.answeredAt) >= since;
    }

    /** When the newest round was sent that a majority has answered; -1 while that proves nothing. */
    long provenAt(List<Voter> seats) {
        long answered = ofMajority(seats, round, one -> one.answeredRound);
        return answered >= readyRound ? sent.getOrDefault(answered, -1L) : -1;
    }
}
