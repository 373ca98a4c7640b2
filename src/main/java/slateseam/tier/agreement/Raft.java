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
import slateseam.tier.agreement.Rpc.AppendReply;
import slateseam.tier.agreement.Rpc.Head;
import slateseam.tier.agreement.Rpc.InstallSnapshot;
import slateseam.tier.agreement.Rpc.Recall;
import slateseam.tier.agreement.Rpc.RecallReply;
import slateseam.tier.agreement.Rpc.RequestVote;
import slateseam.tier.agreement.Rpc.VoteReply;

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
    private static final int MAX_DEFERRED_MESSAGES = 256;
    /** Maximum number of unacknowledged entries sent to one follower. */
    private static final int MAX_ENTRIES_IN_FLIGHT = 64;

    /** Heartbeat intervals that a restarted node waits for all voters to answer its {@link Recall}; then a majority is enough. */
    private static final int RECALL_TIMEOUT_PERIODS = 20;

    /** A message that is sent once the change with the given number is durable. */
    private record DeferredMessage(long number, Voter to, Rpc message) {}

    /** The latest term of a message from another voter, and the highest log index that the voter confirmed in that term. */
    private record Report(long term, long match) {
        Report merge(Report later) {
            return later.term == term
                    ? new Report(term, Math.max(match, later.match))
                    : later.term > term ? later : this;
        }
    }

    private final RaftSettings settings;
    private final DurableState stable;
    private final RandomGenerator random;
    private final RaftPort port;
    private final Map<Voter, Report> reports = new HashMap<>();
    private final Set<Voter> votes = new HashSet<>();
    private final Set<Voter> recalled = new HashSet<>();
    private final Deque<DeferredMessage> deferred = new ArrayDeque<>();
    /** Log entries being written to disk, as pairs of the number of the change and the index of the entry. */
    private final Deque<long[]> unsavedEntries = new ArrayDeque<>();

    private List<Voter> seats;
    private Role role;
    private Voter leader;
    private Leadership leadership;
    private long now;
    private long lastTick;
    private long electionDeadline;
    private long leaderHeardAt = Long.MIN_VALUE / 2;
    private long nextHeartbeatAt;
    private long recallUntil;
    private long lastWritten;
    private long lastPersisted;
    private long persistedIndex;
    private long commit;
    private long applied;
    private boolean inCall;

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
        persistedIndex = stable.lastIndex();
        commit = stable.snapshotIndex();
        applied = commit;
        seats = stable.seats();
        recallUntil = now + RECALL_TIMEOUT_PERIODS * settings.periodNanos();
        // A node that is not a voter is checked as well: it may have confirmed entries while it was joining.
        role = fromDisk && !others().isEmpty() ? Role.UNSURE : isVoter() ? Role.FOLLOWER : Role.LEARNER;
        if (applied > 0) {
            port.install(applied, stable.snapshotState());
        }
        resetElectionTimer(now);
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
        beginCall();
        write(new DurableState.Begin(group, self()));
        write(new DurableState.Snapshot(1, 1, List.of(self()), port.state()));
        write(new DurableState.Term(1, null));
        commit = 1;
        applied = 1;
        role = Role.FOLLOWER;
        electionDeadline = now;
        endCall();
    }

    /**
     * Returns whether this node is a voter, also while the entry that removes it is not committed. Otherwise a group could be left without
     * a leader: the only node with the longest log could not become a candidate, and would not vote for nodes whose logs lack the entry.
     */
    private boolean isVoter() {
        return seats.contains(self())
                || stable.seatsIndex() > commit
                        && stable.seatsAsOf(Math.max(commit, stable.snapshotIndex()))
                                .contains(self());
    }

    private void resetElectionTimer(long from) {
        electionDeadline = from + settings.electionNanos() + (long) (random.nextDouble() * settings.electionNanos());
    }

    /** Begins a call; write completions reported during the call are processed at its end. */
    private void beginCall() {
        inCall = true;
    }

    /** Ends a call and processes write completions reported during the call, which must not re-enter the node. */
    private void endCall() {
        inCall = false;
        processPersisted();
    }

    private void write(DurableState.Change change) {
        stable.apply(change);
        lastWritten++;
        if (change instanceof DurableState.Append append) {
            unsavedEntries.add(new long[] {lastWritten, append.index()});
        } else if (change instanceof DurableState.Truncate truncate) {
            persistedIndex = Math.min(persistedIndex, truncate.index() - 1);
            unsavedEntries.removeIf(one -> one[1] >= truncate.index());
        } else if (change instanceof DurableState.Snapshot snapshot) {
            persistedIndex = Math.min(persistedIndex, stable.lastIndex());
            unsavedEntries.removeIf(one -> one[1] > stable.lastIndex());
            unsavedEntries.add(new long[] {lastWritten, snapshot.index()});
        }
        seats = stable.seats();
        port.persist(lastWritten, change);
    }

    /** Reports that all changes up to and including this number are durable. */
    public void persisted(long number) {
        lastPersisted = Math.max(lastPersisted, number);
        if (!inCall) {
            processPersisted();
        }
    }

    private void processPersisted() {
        beginCall();
        while (!unsavedEntries.isEmpty() && unsavedEntries.peek()[0] <= lastPersisted) {
            persistedIndex = Math.max(persistedIndex, unsavedEntries.poll()[1]);
        }
        while (!deferred.isEmpty() && deferred.peek().number <= lastPersisted) {
            DeferredMessage one = deferred.poll();
            port.send(one.to, one.message);
        }
        if (role == Role.LEADER) {
            advanceCommit();
        }
        inCall = false;
    }

    /** Sends a message after all changes so far are durable, so that no answer confirms state that a power failure would undo. */
    private void sendWhenDurable(Voter to, Rpc message) {
        if (lastPersisted >= lastWritten) {
            port.send(to, message);
        } else {
            deferred.add(new DeferredMessage(lastWritten, to, message));
            if (deferred.size() > MAX_DEFERRED_MESSAGES) {
                deferred.poll();
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
        beginCall();
        if (gap > settings.electionNanos() / 2 && role != Role.LEADER) {
            resetElectionTimer(now); // the node itself was paused, so it cannot tell whether the leader was silent
        }
        if (role == Role.UNSURE) {
            askOthers();
        } else if (role == Role.LEADER) {
            if (!leadership.hasMajorityAnswered(seats, now, now - settings.electionNanos())) {
                becomeFollower(stable.term(), null);
            } else if (now >= nextHeartbeatAt) {
                replicate();
            }
        } else if (role != Role.LEARNER && now >= electionDeadline) {
            startElection();
        }
        endCall();
    }

    private void askOthers() {
        int asked = others().size();
        if (recalled.size() >= asked || now >= recallUntil && 2 * (recalled.size() + 1) > asked + 1) {
            role = isVoter() ? Role.FOLLOWER : Role.LEARNER;
            resetElectionTimer(now);
        } else if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + settings.periodNanos();
            others().forEach(seat -> port.send(seat, new Recall(head(seat))));
        }
    }

    private List<Voter> others() {
        return seats.stream().filter(seat -> !seat.equals(self())).toList();
    }

    private boolean isMajority(Set<Voter> some) {
        return 2 * seats.stream().filter(some::contains).count() > seats.size();
    }

    private void startElection() {
        resetElectionTimer(now);
        leader = null;
        votes.clear();
        votes.add(self());
        if (!settings.preVote()) {
            becomeCandidate();
            return;
        }
        role = Role.PRE_CANDIDATE;
        for (Voter seat : others()) {
            Head asked = new Head(stable.group(), self(), seat, stable.term() + 1);
            sendWhenDurable(seat, new RequestVote(asked, true, stable.lastIndex(), stable.lastTerm()));
        }
        if (isMajority(votes)) {
            becomeCandidate();
        }
    }

    private void becomeCandidate() {
        role = Role.CANDIDATE;
        write(new DurableState.Term(stable.term() + 1, self()));
        votes.clear();
        votes.add(self());
        others().forEach(seat ->
                sendWhenDurable(seat, new RequestVote(head(seat), false, stable.lastIndex(), stable.lastTerm())));
        if (isMajority(votes)) {
            becomeLeader();
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = self();
        leadership = new Leadership(self());
        write(new DurableState.Append(
                stable.lastIndex() + 1, new Entry(stable.term(), Entry.Kind.NOTHING, new byte[0])));
        replicate();
    }

    /** Becomes a follower of the leader of a term, or of no leader yet if {@code newLeader} is null. */
    private void becomeFollower(long term, Voter newLeader) {
        if (term > stable.term()) {
            write(new DurableState.Term(term, null));
        }
        role = isVoter() ? Role.FOLLOWER : Role.LEARNER;
        leadership = null;
        leader = newLeader;
        resetElectionTimer(now);
    }

    private void replicate() {
        nextHeartbeatAt = now + settings.periodNanos();
        leadership.beginRound(now);
        for (Voter seat : leadership.followers(seats)) {
            Leadership.Progress one = leadership.progressOf(seat, stable.lastIndex(), now);
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
        while (first
                || !one.probing && one.next <= stable.lastIndex() && one.next - 1 - one.match < MAX_ENTRIES_IN_FLIGHT) {
            first = false;
            if (one.next <= stable.snapshotIndex()) {
                byte[] state = stable.snapshotState();
                port.send(
                        to,
                        new InstallSnapshot(
                                head(to),
                                stable.snapshotIndex(),
                                stable.snapshotTerm(),
                                leadership.round(),
                                port.offer(state),
                                state.length,
                                stable.snapshotSeats()));
                return;
            }
            List<Entry> entries = new ArrayList<>();
            int room = Rpc.MAX_ENTRIES_BYTES;
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
        beginCall();
        if (joins) {
            write(new DurableState.Begin(head.group(), self()));
        }
        recordReport(message);
        if (message instanceof Recall) {
            Report had = reports.getOrDefault(head.from(), new Report(0, 0));
            port.send(head.from(), new RecallReply(head(head.from()), had.term, had.match));
        } else if (message instanceof RecallReply r) {
            onRecallReply(r);
        } else if (role == Role.UNSURE) {
            checkRecallTimeout(message);
        } else {
            dispatch(message);
        }
        endCall();
    }

    private void onRecallReply(RecallReply r) {
        if (r.heardTerm() > stable.term() || r.heardTerm() == stable.term() && r.match() > stable.lastIndex()) {
            loseMemory("router " + r.head().from().router() + " received term " + r.heardTerm() + ", entry " + r.match()
                    + " from this voter, whose state has term " + stable.term() + ", entry " + stable.lastIndex());
        } else if (role == Role.UNSURE) {
            recalled.add(r.head().from());
        }
    }

    /**
     * Gives up this voter identity if a leader is active but too few voters have answered whether this node's state is complete. Otherwise
     * the node would wait forever for voters that have been removed; the group can add it again under a new identity.
     */
    private void checkRecallTimeout(Rpc message) {
        boolean isFromLeader = message instanceof AppendEntries || message instanceof InstallSnapshot;
        if (isFromLeader
                && message.head().term() >= stable.term()
                && now > recallUntil + RECALL_TIMEOUT_PERIODS * settings.periodNanos()) {
            loseMemory("the group has a leader, but too few voters confirmed that the durable state is complete");
        }
    }

    private void loseMemory(String why) {
        role = Role.LOST;
        port.memoryLost(why);
    }

    private void recordReport(Rpc message) {
        boolean pre = message instanceof RequestVote r && r.pre() || message instanceof VoteReply v && v.pre();
        if (!pre && !(message instanceof Recall) && !(message instanceof RecallReply)) {
            long match = message instanceof AppendReply a && a.matches() ? a.match() : 0;
            reports.merge(message.head().from(), new Report(message.head().term(), match), Report::merge);
        }
    }

    private void dispatch(Rpc message) {
        if (message instanceof RequestVote r) {
            onRequestVote(r);
        } else if (message instanceof VoteReply r) {
            onVoteReply(r);
        } else if (message instanceof AppendEntries r) {
            onAppendEntries(r);
        } else if (message instanceof InstallSnapshot r) {
            onInstallSnapshot(r);
        } else if (message instanceof AppendReply r) {
            onAppendReply(r);
        }
    }

    /** Returns whether this node leads or has heard a leader within the election timeout, so that it refuses to vote. */
    private boolean hasLeader() {
        return settings.preVote() && (role == Role.LEADER || now - leaderHeardAt < settings.electionNanos());
    }

    private void onRequestVote(RequestVote r) {
        Voter from = r.head().from();
        boolean isUpToDate = r.lastTerm() > stable.lastTerm()
                || r.lastTerm() == stable.lastTerm() && r.lastIndex() >= stable.lastIndex();
        if (r.pre()) {
            boolean would = r.head().term() > stable.term() && !hasLeader() && isUpToDate;
            sendWhenDurable(
                    from,
                    new VoteReply(
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
            if (hasLeader()) {
                return; // the candidate does not hear the leader that this node hears
            }
            becomeFollower(r.head().term(), null);
        }
        boolean granted = r.head().term() == stable.term()
                && isUpToDate
                && (stable.vote() == null || stable.vote().equals(from));
        if (granted && stable.vote() == null) {
            write(new DurableState.Term(stable.term(), from));
        }
        if (granted) {
            resetElectionTimer(now);
        }
        sendWhenDurable(from, new VoteReply(head(from), false, granted));
    }

    private void onVoteReply(VoteReply r) {
        if (r.pre() && r.granted()) {
            if (role == Role.PRE_CANDIDATE && r.head().term() == stable.term() + 1) {
                votes.add(r.head().from());
                if (isMajority(votes)) {
                    becomeCandidate();
                }
            }
        } else if (r.head().term() > stable.term()) {
            becomeFollower(r.head().term(), null);
        } else if (!r.pre() && r.granted() && role == Role.CANDIDATE && r.head().term() == stable.term()) {
            votes.add(r.head().from());
            if (isMajority(votes)) {
                becomeLeader();
            }
        }
    }

    /** Follows the sender of a leader's message and returns true, or rejects the message of a leader of an earlier term. */
    private boolean acceptLeader(Rpc message) {
        Head head = message.head();
        if (head.term() < stable.term()) {
            sendWhenDurable(head.from(), new AppendReply(head(head.from()), false, 0, 0));
            return false;
        }
        becomeFollower(head.term(), head.from());
        leaderHeardAt = now;
        return true;
    }

    private void onAppendEntries(AppendEntries r) {
        if (!acceptLeader(r)) {
            return;
        }
        Voter from = r.head().from();
        long before = r.previousIndex();
        if (before > stable.lastIndex()
                || before >= stable.snapshotIndex() && stable.termAt(before) != r.previousTerm()) {
            sendWhenDurable(
                    from, new AppendReply(head(from), false, Math.min(before - 1, stable.lastIndex()), r.round()));
            return;
        }
        long index = before;
        for (Entry entry : r.entries()) {
            index++;
            if (index <= stable.snapshotIndex() || stable.termAt(index) == entry.term()) {
                continue;
            }
            if (index <= commit) {
                loseMemory("entry " + index + " was committed here with term " + stable.termAt(index)
                        + ", but the leader sent it with term " + entry.term());
                return;
            }
            if (index <= stable.lastIndex()) {
                write(new DurableState.Truncate(index));
            }
            write(new DurableState.Append(index, entry));
        }
        commit = Math.max(commit, Math.min(r.commit(), index));
        applyCommitted();
        role = isVoter() ? Role.FOLLOWER : Role.LEARNER;
        sendWhenDurable(from, new AppendReply(head(from), true, index, r.round()));
    }

    private void onInstallSnapshot(InstallSnapshot r) {
        if (!acceptLeader(r)) {
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
            role = isVoter() ? Role.FOLLOWER : Role.LEARNER;
        }
        boolean fits = has || state != null;
        sendWhenDurable(
                from,
                new AppendReply(
                        head(from), fits, fits ? r.index() : Math.min(r.index() - 1, stable.lastIndex()), r.round()));
    }

    private void onAppendReply(AppendReply r) {
        if (r.head().term() > stable.term()) {
            becomeFollower(r.head().term(), null);
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
        if (r.matches()) {
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
                port.send(r.head().from(), new RecallReply(head(r.head().from()), stable.term(), one.match));
            }
        }
        advanceCommit();
        if (role == Role.LEADER) {
            send(r.head().from(), one, one.probing && one.next <= stable.lastIndex());
        }
    }

    /** Commits the entries that a majority has if the last of them is of the current term; earlier terms are committed with it. */
    private void advanceCommit() {
        long matched = leadership.majorityMatch(seats, persistedIndex);
        if (matched <= commit || stable.termAt(matched) != stable.term()) {
            return;
        }
        commit = matched;
        leadership.markReady();
        applyCommitted();
        if (!seats.contains(self()) && stable.seatsIndex() <= commit) {
            becomeFollower(stable.term(), null);
        } else {
            replicate(); // announces the new commit index at once
        }
    }

    private void applyCommitted() {
        while (applied < commit) {
            applied++;
            port.apply(applied, stable.entry(applied));
        }
        if (applied - stable.snapshotIndex() > settings.keptEntries()) {
            write(new DurableState.Snapshot(applied, stable.termAt(applied), stable.seatsAsOf(applied), port.state()));
        }
    }

    /** Appends a command to the log; returns its index, or -1 if this node is not the leader. */
    public long propose(byte[] body) {
        if (role != Role.LEADER) {
            return -1;
        }
        beginCall();
        long index = stable.lastIndex() + 1;
        write(new DurableState.Append(index, new Entry(stable.term(), Entry.Kind.COMMAND, body)));
        replicate();
        endCall();
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
                || stable.seatsIndex() > commit
                || differ.size() != 1
                || to.isEmpty()
                || to.size() > Voter.MOST) {
            return false;
        }
        beginCall();
        write(new DurableState.Append(
                stable.lastIndex() + 1, new Entry(stable.term(), Entry.Kind.SEATS, Voter.encodeAll(to))));
        replicate();
        endCall();
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
        return one != null && one.match > 0 && one.match + MAX_ENTRIES_IN_FLIGHT / 4 >= stable.lastIndex();
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
        for (long i = stable.snapshotIndex() + 1; i <= stable.lastIndex(); i++) {
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
