package slateseam.tier.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import slateseam.tier.agreement.Rpc.AppendEntries;
import slateseam.tier.agreement.Rpc.Appended;
import slateseam.tier.agreement.Rpc.Head;
import slateseam.tier.agreement.Rpc.InstallSnapshot;
import slateseam.tier.agreement.Rpc.Recall;
import slateseam.tier.agreement.Rpc.Recalled;
import slateseam.tier.agreement.Rpc.RequestVote;
import slateseam.tier.agreement.Rpc.Vote;

/**
 * A Raft node (Ongaro 2014, with pre-vote, check-quorum, snapshots, and single-server membership changes). The caller passes in the
 * time, messages, and the completion of disk writes; the node performs its actions through a {@link RaftPort}. Not thread-safe.
 * Deterministic: the same durable state, random source and calls give the same actions.
 */
public final class Raft {
    /** State of a node in the protocol. */
    public enum Role {
        /** Not a voter; at most receives the log. */
        LEARNER,
        /** Has read its state from disk and asks the other voters whether it is complete; does not vote yet. */
        UNSURE,
        /** Follows a leader or waits for one. */
        FOLLOWER,
        /** Runs a pre-vote: asks whether it would be elected. */
        PRE_CANDIDATE,
        /** Requests votes. */
        CANDIDATE,
        /** Leads the group in the current term. */
        LEADER,
        /** Has lost state that it had confirmed to others; takes no further part in the protocol. */
        LOST
    }

    /** Maximum number of messages that wait for the disk; the oldest are dropped, which the protocol treats as lost messages. */
    private static final int MOST_HELD = 256;
    /** Maximum number of unacknowledged entries sent to one follower. */
    private static final int MOST_UNDER_WAY = 64;

    /** Heartbeat intervals that a restarted node waits for all voters to answer its {@link Recall}; then a majority is enough. */
    private static final int RECALL_PERIODS = 20;

    /** A message that is sent once the change with the given number is durable. */
    private record Held(long number, Voter to, Rpc message) {}

    /** The latest term of a message from another voter, and the highest log index that the voter confirmed in that term. */
    private record Seen(long term, long match) {
        Seen and(Seen later) {
            return later.term == term ? new Seen(term, Math.max(match, later.match)) : later.term > term ? later : this;
        }
    }

    private final RaftSettings settings;
    private final DurableState stable;
    private final RandomGenerator random;
    private final RaftPort port;
    private final Map<Voter, Seen> seen = new HashMap<>();
    private final Set<Voter> votes = new HashSet<>();
    private final Set<Voter> recalled = new HashSet<>();
    private final Deque<Held> held = new ArrayDeque<>();
    /** Log entries being written to disk, as pairs of the number of the change and the index of the entry. */
    private final Deque<long[]> writing = new ArrayDeque<>();

    private List<Voter> seats;
    private Role role;
    private Voter leader;
    private Leadership leadership;
    private long now;
    private long lastTick;
    private long deadline;
    private long leaderHeardAt = Long.MIN_VALUE / 2;
    private long nextBeat;
    private long recallUntil;
    private long written;
    private long lasting;
    private long lastingIndex;
    private long commit;
    private long applied;
    private boolean busy;

    /**
     * Creates a node from its durable state.
     *
     * @param stable the durable state, which holds at least the voter's identity
     * @param fromDisk whether the state was read from a disk, which may have lost recent writes
     * @param now current time in nanoseconds on the clock that is later passed to {@link #tick}
     */
    public Raft(
            RaftSettings settings,
            DurableState stable,
            boolean fromDisk,
            long now,
            RandomGenerator random,
            RaftPort port) {
        this.settings = settings;
        this.stable = stable;
        this.now = now;
        this.random = random;
        this.port = port;
        lastTick = now;
        lastingIndex = stable.lastIndex();
        commit = stable.baseIndex();
        applied = commit;
        seats = stable.seats();
        recallUntil = now + RECALL_PERIODS * settings.periodNanos();
        // A node that was not a voter yet is checked as well, because it may already have confirmed entries while it
        // was joining.
        role = fromDisk && !others().isEmpty() ? Role.UNSURE : isSeated() ? Role.FOLLOWER : Role.LEARNER;
        if (applied > 0) {
            port.install(applied, stable.baseState());
        }
        patient(now);
    }

    /** Returns the voter identity of this node. */
    public Voter self() {
        return stable.seat();
    }

    /** Creates a group with this node as its only voter. Throws an exception if the node already belongs to one. */
    public void begin(long group) {
        if (stable.group() != 0) {
            throw new IllegalStateException("this voter already belongs to a group");
        }
        enter();
        write(new DurableState.Begin(group, self()));
        write(new DurableState.Snapshot(1, 1, List.of(self()), port.state()));
        write(new DurableState.Term(1, null));
        commit = 1;
        applied = 1;
        role = Role.FOLLOWER;
        deadline = now;
        leave();
    }

    /**
     * Returns whether this node is a voter, also while the entry that removes it is not committed. Otherwise a group could be left without
     * a leader: the only node with the longest log could not become a candidate, and would not vote for nodes whose logs lack the entry.
     */
    private boolean isSeated() {
        return seats.contains(self())
                || stable.seatsAt() > commit
                        && stable.seatsAsOf(Math.max(commit, stable.baseIndex()))
                                .contains(self());
    }

    private void patient(long from) {
        deadline = from + settings.electionNanos() + (long) (random.nextDouble() * settings.electionNanos());
    }

    /** Begins a call; write completions reported during the call are processed at its end. */
    private void enter() {
        busy = true;
    }

    /** Ends a call and processes write completions reported during the call, which must not re-enter the node. */
    private void leave() {
        busy = false;
        lasts();
    }

    private void write(DurableState.Change change) {
        stable.apply(change);
        written++;
        if (change instanceof DurableState.Append append) {
            writing.add(new long[] {written, append.index()});
        } else if (change instanceof DurableState.Cut cut) {
            lastingIndex = Math.min(lastingIndex, cut.index() - 1);
            writing.removeIf(one -> one[1] >= cut.index());
        } else if (change instanceof DurableState.Snapshot snapshot) {
            lastingIndex = Math.min(lastingIndex, stable.lastIndex());
            writing.removeIf(one -> one[1] > stable.lastIndex());
            writing.add(new long[] {written, snapshot.index()});
        }
        seats = stable.seats();
        port.persist(written, change);
    }

    /** Reports that all changes up to and including this number are durable. */
    public void persisted(long number) {
        lasting = Math.max(lasting, number);
        if (!busy) {
            lasts();
        }
    }

    private void lasts() {
        enter();
        while (!writing.isEmpty() && writing.peek()[0] <= lasting) {
            lastingIndex = Math.max(lastingIndex, writing.poll()[1]);
        }
        while (!held.isEmpty() && held.peek().number <= lasting) {
            Held one = held.poll();
            port.send(one.to, one.message);
        }
        if (role == Role.LEADER) {
            advance();
        }
        busy = false;
    }

    /** Sends a message after all changes so far are durable, so that no answer confirms state that a power failure would undo. */
    private void sendOnceLasting(Voter to, Rpc message) {
        if (lasting >= written) {
            port.send(to, message);
        } else {
            held.add(new Held(written, to, message));
            if (held.size() > MOST_HELD) {
                held.poll();
            }
        }
    }

    private Head head(Voter to) {
        return new Head(stable.group(), self(), to, stable.term());
    }

    /** Advances the time and starts due actions. Must be called several times per heartbeat interval. */
    public void tick(long nanos) {
        long gap = nanos - lastTick;
        now = nanos;
        lastTick = nanos;
        if (role == Role.LOST) {
            return;
        }
        enter();
        if (gap > settings.electionNanos() / 2 && role != Role.LEADER) {
            patient(now); // the node itself was paused, so it cannot tell whether the leader was silent
        }
        if (role == Role.UNSURE) {
            recall();
        } else if (role == Role.LEADER) {
            if (!leadership.isHeard(seats, now, now - settings.electionNanos())) {
                follow(stable.term(), null);
            } else if (now >= nextBeat) {
                beat();
            }
        } else if (role != Role.LEARNER && now >= deadline) {
            campaign();
        }
        leave();
    }

    private void recall() {
        int asked = others().size();
        if (recalled.size() >= asked || now >= recallUntil && 2 * (recalled.size() + 1) > asked + 1) {
            role = isSeated() ? Role.FOLLOWER : Role.LEARNER;
            patient(now);
        } else if (now >= nextBeat) {
            nextBeat = now + settings.periodNanos();
            others().forEach(seat -> port.send(seat, new Recall(head(seat))));
        }
    }

    private List<Voter> others() {
        return seats.stream().filter(seat -> !seat.equals(self())).toList();
    }

    private boolean isMajority(Set<Voter> some) {
        return 2 * seats.stream().filter(some::contains).count() > seats.size();
    }

    private void campaign() {
        patient(now);
        leader = null;
        votes.clear();
        votes.add(self());
        if (!settings.preVote()) {
            stand();
            return;
        }
        role = Role.PRE_CANDIDATE;
        for (Voter seat : others()) {
            Head asked = new Head(stable.group(), self(), seat, stable.term() + 1);
            sendOnceLasting(seat, new RequestVote(asked, true, stable.lastIndex(), stable.lastTerm()));
        }
        if (isMajority(votes)) {
            stand();
        }
    }

    private void stand() {
        role = Role.CANDIDATE;
        write(new DurableState.Term(stable.term() + 1, self()));
        votes.clear();
        votes.add(self());
        others().forEach(seat ->
                sendOnceLasting(seat, new RequestVote(head(seat), false, stable.lastIndex(), stable.lastTerm())));
        if (isMajority(votes)) {
            lead();
        }
    }

    private void lead() {
        role = Role.LEADER;
        leader = self();
        leadership = new Leadership(self());
        write(new DurableState.Append(
                stable.lastIndex() + 1, new Entry(stable.term(), Entry.Kind.NOTHING, new byte[0])));
        beat();
    }

    /** Becomes a follower of the leader of a term, or of no leader yet if {@code whom} is null. */
    private void follow(long term, Voter whom) {
        if (term > stable.term()) {
            write(new DurableState.Term(term, null));
        }
        role = isSeated() ? Role.FOLLOWER : Role.LEARNER;
        leadership = null;
        leader = whom;
        patient(now);
    }

    private void beat() {
        nextBeat = now + settings.periodNanos();
        leadership.begin(now);
        for (Voter seat : leadership.followers(seats)) {
            Leadership.Progress one = leadership.of(seat, stable.lastIndex(), now);
            if (now - one.answeredAt > 2 * settings.periodNanos() && !one.probing) {
                one.probing = true; // treats the messages in flight as lost
                one.next = one.match + 1;
            }
            send(seat, one, true);
        }
    }

    /** Sends a follower the entries or the snapshot that it lacks; with {@code always}, at least one message (a heartbeat). */
    private void send(Voter to, Leadership.Progress one, boolean always) {
        boolean first = always;
        while (first || !one.probing && one.next <= stable.lastIndex() && one.next - 1 - one.match < MOST_UNDER_WAY) {
            first = false;
            if (one.next <= stable.baseIndex()) {
                byte[] state = stable.baseState();
                port.send(
                        to,
                        new InstallSnapshot(
                                head(to),
                                stable.baseIndex(),
                                stable.baseTerm(),
                                leadership.round(),
                                port.offer(state),
                                state.length,
                                stable.baseSeats()));
                return;
            }
            List<Entry> entries = new ArrayList<>();
            int room = Rpc.ENTRY_ROOM;
            for (long i = one.next; i <= stable.lastIndex() && stable.entry(i).bytes() <= room; i++) {
                room -= stable.entry(i).bytes();
                entries.add(stable.entry(i));
            }
            port.send(
                    to,
                    new AppendEntries(
                            head(to), one.next - 1, stable.termAt(one.next - 1), commit, leadership.round(), entries));
            one.next += one.probing ? 0 : entries.size();
        }
    }

    /** Processes a received message. */
    public void heard(long nanos, Rpc message) {
        now = nanos;
        Head head = message.head();
        boolean joins = stable.group() == 0 && (message instanceof AppendEntries || message instanceof InstallSnapshot);
        if (role == Role.LOST || !head.to().equals(self()) || head.group() != stable.group() && !joins) {
            return;
        }
        enter();
        if (joins) {
            write(new DurableState.Begin(head.group(), self()));
        }
        remember(message);
        if (message instanceof Recall) {
            Seen had = seen.getOrDefault(head.from(), new Seen(0, 0));
            port.send(head.from(), new Recalled(head(head.from()), had.term, had.match));
        } else if (message instanceof Recalled r) {
            recalled(r);
        } else if (role == Role.UNSURE) {
            led(message);
        } else {
            take(message);
        }
        leave();
    }

    private void recalled(Recalled r) {
        if (r.heardTerm() > stable.term() || r.heardTerm() == stable.term() && r.match() > stable.lastIndex()) {
            lost("router " + r.head().from().router() + " received term " + r.heardTerm() + " and entry " + r.match()
                    + " from this voter, but its durable state has term " + stable.term() + " and entry "
                    + stable.lastIndex());
        } else if (role == Role.UNSURE) {
            recalled.add(r.head().from());
        }
    }

    /**
     * Gives up this voter identity if a leader is active but too few voters have answered whether this node's state is complete. Otherwise
     * the node would wait forever for voters that have been removed; the group can add it again under a new identity.
     */
    private void led(Rpc message) {
        boolean leads = message instanceof AppendEntries || message instanceof InstallSnapshot;
        if (leads
                && message.head().term() >= stable.term()
                && now > recallUntil + RECALL_PERIODS * settings.periodNanos()) {
            lost("the group has a leader, but too few voters confirmed that the durable state is complete");
        }
    }

    private void lost(String why) {
        role = Role.LOST;
        port.memoryLost(why);
    }

    private void remember(Rpc message) {
        boolean pre = message instanceof RequestVote r && r.pre() || message instanceof Vote v && v.pre();
        if (!pre && !(message instanceof Recall) && !(message instanceof Recalled)) {
            long match = message instanceof Appended a && a.fitted() ? a.match() : 0;
            seen.merge(message.head().from(), new Seen(message.head().term(), match), Seen::and);
        }
    }

    private void take(Rpc message) {
        if (message instanceof RequestVote r) {
            asked(r);
        } else if (message instanceof Vote r) {
            answered(r);
        } else if (message instanceof AppendEntries r) {
            append(r);
        } else if (message instanceof InstallSnapshot r) {
            install(r);
        } else if (message instanceof Appended r) {
            appended(r);
        }
    }

    /** Returns whether this node leads or has heard a leader within the election timeout, so that it refuses to vote. */
    private boolean isLed() {
        return settings.preVote() && (role == Role.LEADER || now - leaderHeardAt < settings.electionNanos());
    }

    private void asked(RequestVote r) {
        Voter from = r.head().from();
        boolean hasAll = r.lastTerm() > stable.lastTerm()
                || r.lastTerm() == stable.lastTerm() && r.lastIndex() >= stable.lastIndex();
        if (r.pre()) {
            boolean would = r.head().term() > stable.term() && !isLed() && hasAll;
            sendOnceLasting(
                    from,
                    new Vote(
                            new Head(
                                    stable.group(),
                                    self(),
                                    from,
                                    would ? r.head().term() : stable.term()),
                            true,
                            would));
            return;
        }
        if (r.head().term() > stable.term()) {
            if (isLed()) {
                return; // the candidate does not hear the leader that this node hears
            }
            follow(r.head().term(), null);
        }
        boolean granted = r.head().term() == stable.term()
                && hasAll
                && (stable.vote() == null || stable.vote().equals(from));
        if (granted && stable.vote() == null) {
            write(new DurableState.Term(stable.term(), from));
        }
        if (granted) {
            patient(now);
        }
        sendOnceLasting(from, new Vote(head(from), false, granted));
    }

    private void answered(Vote r) {
        if (r.pre() && r.granted()) {
            if (role == Role.PRE_CANDIDATE && r.head().term() == stable.term() + 1) {
                votes.add(r.head().from());
                if (isMajority(votes)) {
                    stand();
                }
            }
        } else if (r.head().term() > stable.term()) {
            follow(r.head().term(), null);
        } else if (!r.pre() && r.granted() && role == Role.CANDIDATE && r.head().term() == stable.term()) {
            votes.add(r.head().from());
            if (isMajority(votes)) {
                lead();
            }
        }
    }

    /** Follows the sender of a leader's message and returns true, or rejects the message of a leader of an earlier term. */
    private boolean isOfLeader(Rpc message) {
        Head head = message.head();
        if (head.term() < stable.term()) {
            sendOnceLasting(head.from(), new Appended(head(head.from()), false, 0, 0));
            return false;
        }
        follow(head.term(), head.from());
        leaderHeardAt = now;
        return true;
    }

    private void append(AppendEntries r) {
        if (!isOfLeader(r)) {
            return;
        }
        Voter from = r.head().from();
        long before = r.previousIndex();
        if (before > stable.lastIndex() || before >= stable.baseIndex() && stable.termAt(before) != r.previousTerm()) {
            sendOnceLasting(from, new Appended(head(from), false, Math.min(before - 1, stable.lastIndex()), r.round()));
            return;
        }
        long index = before;
        for (Entry entry : r.entries()) {
            index++;
            if (index <= stable.baseIndex() || stable.termAt(index) == entry.term()) {
                continue;
            }
            if (index <= commit) {
                lost("entry " + index + " was committed here with term " + stable.termAt(index)
                        + ", but the leader sent it with term " + entry.term());
                return;
            }
            if (index <= stable.lastIndex()) {
                write(new DurableState.Cut(index));
            }
            write(new DurableState.Append(index, entry));
        }
        commit = Math.max(commit, Math.min(r.commit(), index));
        applyAll();
        role = isSeated() ? Role.FOLLOWER : Role.LEARNER;
        sendOnceLasting(from, new Appended(head(from), true, index, r.round()));
    }

    private void install(InstallSnapshot r) {
        if (!isOfLeader(r)) {
            return;
        }
        Voter from = r.head().from();
        boolean has = r.index() <= commit;
        byte[] state = has ? null : port.content(r.hash(), r.length(), from.router());
        if (state != null) {
            write(new DurableState.Snapshot(r.index(), r.lastTerm(), r.seats(), state));
            commit = r.index();
            applied = commit;
            port.install(applied, state);
            role = isSeated() ? Role.FOLLOWER : Role.LEARNER;
        }
        boolean fits = has || state != null;
        sendOnceLasting(
                from,
                new Appended(
                        head(from), fits, fits ? r.index() : Math.min(r.index() - 1, stable.lastIndex()), r.round()));
    }

    private void appended(Appended r) {
        if (r.head().term() > stable.term()) {
            follow(r.head().term(), null);
            return;
        }
        Leadership.Progress one = role == Role.LEADER && r.head().term() == stable.term()
                ? leadership.find(r.head().from())
                : null;
        if (one == null) {
            return;
        }
        one.answeredRound = Math.max(one.answeredRound, r.round());
        one.answeredAt = now;
        if (r.fitted()) {
            one.matchRound = Math.max(one.matchRound, r.round());
            one.match = Math.max(one.match, r.match());
            one.next = Math.max(one.next, one.match + 1);
            one.probing = false;
        } else {
            // Sends one message at a time again. Otherwise each rejected message in flight would cause several new
            // ones, which would be rejected as well.
            one.probing = true;
            one.next = Math.max(one.match + 1, Math.min(one.next - 1, r.match() + 1));
            if (r.match() < one.match && r.round() > one.matchRound) {
                // The follower has lost entries that it had confirmed. Tells it so, and it gives up its voter identity.
                port.send(r.head().from(), new Recalled(head(r.head().from()), stable.term(), one.match));
            }
        }
        advance();
        if (role == Role.LEADER) {
            send(r.head().from(), one, one.probing && one.next <= stable.lastIndex());
        }
    }

    /** Commits the entries that a majority has if the last of them is of the current term; earlier terms are committed with it. */
    private void advance() {
        long matched = leadership.matched(seats, lastingIndex);
        if (matched <= commit || stable.termAt(matched) != stable.term()) {
            return;
        }
        commit = matched;
        leadership.ready();
        applyAll();
        if (!seats.contains(self()) && stable.seatsAt() <= commit) {
            follow(stable.term(), null);
        } else {
            beat(); // announces the new commit index at once
        }
    }

    private void applyAll() {
        while (applied < commit) {
            applied++;
            port.apply(applied, stable.entry(applied));
        }
        if (applied - stable.baseIndex() > settings.keptEntries()) {
            write(new DurableState.Snapshot(applied, stable.termAt(applied), stable.seatsAsOf(applied), port.state()));
        }
    }

    /** Appends a command to the log; returns its index, or -1 if this node is not the leader. */
    public long propose(byte[] body) {
        if (role != Role.LEADER) {
            return -1;
        }
        enter();
        long index = stable.lastIndex() + 1;
        write(new DurableState.Append(index, new Entry(stable.term(), Entry.Kind.COMMAND, body)));
        beat();
        leave();
        return index;
    }

    /**
     * Proposes a new set of voters, which must differ from the current one by exactly one voter. Returns false if the set is not valid,
     * this node does not lead or does not know the commit index yet, or another membership change is not committed yet.
     */
    public boolean change(List<Voter> to) {
        Set<Voter> differ = new HashSet<>(to);
        seats.forEach(seat -> {
            if (!differ.remove(seat)) {
                differ.add(seat);
            }
        });
        if (role != Role.LEADER
                || !leadership.isReady()
                || stable.seatsAt() > commit
                || differ.size() != 1
                || to.isEmpty()
                || to.size() > Voter.MOST) {
            return false;
        }
        enter();
        write(new DurableState.Append(
                stable.lastIndex() + 1, new Entry(stable.term(), Entry.Kind.SEATS, Voter.bytes(to))));
        beat();
        leave();
        return true;
    }

    /** Makes the leader replicate the log to these routers too, so that they have the log when they become voters. */
    public void join(Collection<Voter> some) {
        if (role == Role.LEADER) {
            leadership.join(some);
        }
    }

    /** Returns whether a joining router has nearly the whole log. */
    public boolean hasCaughtUp(Voter seat) {
        Leadership.Progress one = role == Role.LEADER ? leadership.find(seat) : null;
        return one != null && one.match > 0 && one.match + MOST_UNDER_WAY / 4 >= stable.lastIndex();
    }

    /** Returns whether a voter has not answered this leader for two election timeouts, longer than chance message loss explains. */
    public boolean isSilent(Voter seat) {
        Leadership.Progress one = role == Role.LEADER ? leadership.find(seat) : null;
        return one != null && now - one.answeredAt > 2 * settings.electionNanos();
    }

    /** Returns the latest time until which this leader provably knows all committed entries; -1 if it does not lead or cannot prove any. */
    public long provenAt() {
        return role == Role.LEADER ? leadership.provenAt(seats) : -1;
    }

    /** Returns the current role. */
    public Role role() {
        return role;
    }

    /** Returns the current leader, which may be this node itself, or null if none is known. */
    public Voter leader() {
        return leader;
    }

    /** Returns the identifier of the group, or 0 if this node belongs to none. */
    public long group() {
        return stable.group();
    }

    /** Returns the current term. */
    public long term() {
        return stable.term();
    }

    /** Returns the highest index known to be committed. */
    public long commit() {
        return commit;
    }

    /** Returns the voters according to the latest membership entry in this node's log, committed or not. */
    public List<Voter> seats() {
        return seats;
    }

    /** Returns a text of all state, except times, that determines future actions. Tests that explore all states compare it. */
    String fingerprint() {
        StringBuilder text = new StringBuilder()
                .append(role)
                .append(stable.term())
                .append(stable.vote())
                .append(commit)
                .append(votes);
        for (long i = stable.baseIndex() + 1; i <= stable.lastIndex(); i++) {
            text.append(' ')
                    .append(stable.entry(i).term())
                    .append(Arrays.toString(stable.entry(i).body()));
        }
        if (leadership != null) {
            for (Voter seat : seats) {
                Leadership.Progress one = leadership.find(seat);
                text.append(one == null ? "|" : "|" + one.next + "," + one.match);
            }
        }
        return text.toString();
    }
}
