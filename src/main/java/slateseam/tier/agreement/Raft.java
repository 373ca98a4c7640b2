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
 * One of those who agree on a log (Raft, Ongaro 2014: with pre-vote, check-quorum, snapshots, and changes of who votes one at a time).
 * It is told the time, messages and what has come onto the disk, and tells its {@link RaftPort} what to do. Not thread-safe. The same
 * memory, source of chance and calls give the same actions.
 */
public final class Raft {
    /** What it is at present. */
    public enum Role {
        /** It has no seat: it is sent the log at most. */
        LEARNER,
        /** It has read its memory from a disk and asks the others whether that is all. */
        UNSURE,
        /** It follows a leader, or waits for one. */
        FOLLOWER,
        /** It asks whether it would be elected. */
        PRE_CANDIDATE,
        /** It asks to be elected. */
        CANDIDATE,
        /** It leads. */
        LEADER,
        /** Its memory is less than it once said: it says nothing more. */
        LOST
    }

    private static final int MOST_HELD = 256;
    /** Entries under way to one follower. */
    private static final int MOST_UNDER_WAY = 64;

    private static final int RECALL_PERIODS = 20;

    /** Waits for the disk. */
    private record Held(long number, Voter to, Rpc message) {}

    /** What was had from one who votes: its latest term, and up to where it said in that term that it has the log. */
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
    /** Entries on their way to the disk: the number of the change, the entry. */
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
     * Goes on with a memory.
     *
     * @param stable what it remembers; its seat at least
     * @param fromDisk whether that was read from a disk, which may have forgotten some
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
        // One that was to be taken in may have said that it had entries, too.
        role = fromDisk && !others().isEmpty() ? Role.UNSURE : isSeated() ? Role.FOLLOWER : Role.LEARNER;
        if (applied > 0) {
            port.install(applied, stable.baseState());
        }
        patient(now);
    }

    /** Its own seat. */
    public Voter self() {
        return stable.seat();
    }

    /** Begins a group of its own, in which it alone votes; only one that is in none can. */
    public void begin(long group) {
        if (stable.group() != 0) {
            throw new IllegalStateException("it is in a group");
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
     * Whether it is one of those that vote, also where an entry that is not committed yet takes its seat away. Guards against a log that only
     * one has that may not stand, and that keeps it from voting for those who lack it.
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

    private void enter() {
        busy = true;
    }

    /** What the disk said meanwhile is taken up only now, so that nothing is called within itself. */
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

    /** All changes up to this number are where they last. */
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

    /** Guards against an answer for what a power cut would make undone. */
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

    /** Time goes on; to be called a few times each period. */
    public void tick(long nanos) {
        long gap = nanos - lastTick;
        now = nanos;
        lastTick = nanos;
        if (role == Role.LOST) {
            return;
        }
        enter();
        if (gap > settings.electionNanos() / 2 && role != Role.LEADER) {
            patient(now); // it stood still itself: that is no leader's silence
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

    /** Follows whoever leads in a term, or waits for one. */
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
                one.probing = true; // what was under way is lost
                one.next = one.match + 1;
            }
            send(seat, one, true);
        }
    }

    /** Sends what it lacks; a heartbeat even if it lacks nothing. */
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

    /** A message came. */
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
            lost("router " + r.head().from().router() + " had term " + r.heardTerm() + " and entry " + r.match()
                    + " from it, its memory has term " + stable.term() + " and entry " + stable.lastIndex());
        } else if (role == Role.UNSURE) {
            recalled.add(r.head().from());
        }
    }

    /** Guards against waiting for ever for those that vote no longer: the others go on, and can take this one in anew. */
    private void led(Rpc message) {
        boolean leads = message instanceof AppendEntries || message instanceof InstallSnapshot;
        if (leads
                && message.head().term() >= stable.term()
                && now > recallUntil + RECALL_PERIODS * settings.periodNanos()) {
            lost("the others go on and those that it asks what they had from it are not there");
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

    /** Whether a leader was heard so lately that nobody else need be elected. */
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
                return; // it did not hear the leader that this one hears
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

    /** Whether a message of a leader counts; if so this one follows it. */
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
                lost("entry " + index + " was committed here in term " + stable.termAt(index)
                        + ", and the leader has it of term " + entry.term());
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
            // Guards against many messages for each that did not fit, each of which does not fit either.
            one.probing = true;
            one.next = Math.max(one.match + 1, Math.min(one.next - 1, r.match() + 1));
            if (r.match() < one.match && r.round() > one.matchRound) {
                // It has forgotten what it said: it is told so, and gives its seat up.
                port.send(r.head().from(), new Recalled(head(r.head().from()), stable.term(), one.match));
            }
        }
        advance();
        if (role == Role.LEADER) {
            send(r.head().from(), one, one.probing && one.next <= stable.lastIndex());
        }
    }

    /** Commits what a majority has, if it is of this term: what is of an earlier one is committed with it. */
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
            beat(); // so that all know at once
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

    /** Appends what is to be agreed on; its place in the log, or -1 for one that does not lead. */
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

    /** Changes who votes, by one; false if it does not lead, or another change is not committed yet. */
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

    /** The leader sends the log to these as well, so that they have it when they are to vote. */
    public void join(Collection<Voter> some) {
        if (role == Role.LEADER) {
            leadership.join(some);
        }
    }

    /** Whether one that joins has nearly all. */
    public boolean hasCaughtUp(Voter seat) {
        Leadership.Progress one = role == Role.LEADER ? leadership.find(seat) : null;
        return one != null && one.match > 0 && one.match + MOST_UNDER_WAY / 4 >= stable.lastIndex();
    }

    /** Whether one that votes has not answered its leader for longer than messages are lost by chance. */
    public boolean isSilent(Voter seat) {
        Leadership.Progress one = role == Role.LEADER ? leadership.find(seat) : null;
        return one != null && now - one.answeredAt > 2 * settings.electionNanos();
    }

    /** When it is known that all that was committed until then is known here; -1 for one that does not lead, or cannot know. */
    public long provenAt() {
        return role == Role.LEADER ? leadership.provenAt(seats) : -1;
    }

    /** What it is. */
    public Role role() {
        return role;
    }

    /** Whom it follows, itself if it leads; null while it knows nobody. */
    public Voter leader() {
        return leader;
    }

    /** The group; 0 for none. */
    public long group() {
        return stable.group();
    }

    /** The term that it is in. */
    public long term() {
        return stable.term();
    }

    /** Up to where the log is committed, as far as it knows. */
    public long commit() {
        return commit;
    }

    /** Who votes, as far as it knows. */
    public List<Voter> seats() {
        return seats;
    }

    /** All of it that decides what it does next but for times, to tell states apart where all are explored. */
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
