package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.Message.BadMessageException;
import slateseam.tier.members.Message.Claim;
import slateseam.tier.members.Message.Introduction;
import slateseam.tier.members.Message.Record;
import slateseam.tier.members.Message.Verdict;

/**
 * One router's view of the tier, maintained by a SWIM-style gossip protocol: heartbeats to the routers that monitor
 * this one, suspicion before failure, refutation by incarnation numbers, and anti-entropy by digests. The class does
 * no I/O and reads no clock: the caller passes in the time and received datagrams, and the class tells its {@link
 * MembersPort} which datagrams to send and what has changed in the view.
 *
 * <p>Not thread-safe. The same settings, random generator and calls give the same actions. All times are nanoseconds
 * of Unix time unless the name says otherwise.
 */
public final class Members {
    /**
     * A life (the start time of a process) that lies more than a day ahead of this router's clock is implausible, and
     * so is an incarnation above {@link #MAX_INCARNATION}; datagrams and claims with such values are dropped.
     */
    private static final long MAX_AHEAD_OF_CLOCK_MILLIS = 86_400_000L;

    /** The highest incarnation that is accepted. A router that reaches it starts a later life instead. */
    static final int MAX_INCARNATION = 1 << 30;

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    /**
     * For this long after a new life was first heard, messages of the previous life count as delayed; after that they
     * count as messages of a second process with the same name.
     */
    private static final long DELAYED_MESSAGE_NANOS = 3 * SECOND;

    /** Messages of another process, in sequence, after which a duplicate name is reported. */
    private static final int DUPLICATE_NAME_MESSAGES = 5;
    /** The shortest time between two reports of the same duplicate name. */
    static final long DUPLICATE_NAME_REPORT_NANOS = 60 * SECOND;
    /**
     * Periods between two comparisons of the view with a random member, and between two probes of addresses that are
     * not in the view.
     */
    private static final int COMPARE_PERIODS = 5;
    /** Periods between two introductions to a member that is already heard. */
    private static final int INTRODUCE_PERIODS = 10;
    /** Consecutive messages with a differing view digest after which the view is compared with the sender's. */
    private static final int MAX_DIGEST_MISMATCHES = 3;

    /**
     * Limit on requests for an introduction, and on replies to such requests and to verdicts, in one period; it
     * bounds the traffic that received datagrams can provoke.
     */
    private static final int MAX_REPLIES_PER_PERIOD = 5;
    /**
     * Additional members that a router contacts while it is in a minority or unheard, and when it shuts down; also
     * the number by which the addresses in {@link #recentlyProbed} may exceed the number of watchers.
     */
    private static final int EXTRA_TARGETS = 2;
    /**
     * Messages in quick succession after which a failed member counts as alive again; a single message may be a
     * delayed one.
     */
    private static final int MESSAGES_TO_REVIVE = 2;

    private final MembersSettings settings;
    private final RandomGenerator random;
    private final MembersPort port;
    private final long self;
    private final int tier;
    private final Roster roster;
    private final Watch watch;
    private final LocalHealth localHealth;
    private final Map<Traffic, Long> traffic = new EnumMap<>(Traffic.class);
    private final SelfState selfState;
    private final Parts parts;
    private boolean left;
    private long now;
    private long nextPeriod;
    private long periods;
    /** The requests and replies that {@link #MAX_REPLIES_PER_PERIOD} still allows in this period. */
    private int repliesLeft;
    /** The position of the next probe in the list of addresses to probe. */
    private int nextProbe;
    /** The addresses that were probed most recently, whether or not they have answered. */
    private final Set<InetSocketAddress> recentlyProbed = new LinkedHashSet<>();
    /** The members whose view digest has differed from this one's repeatedly; their views are compared next. */
    private final Set<Long> differing = new LinkedHashSet<>();

    /** The issue that was last reported to the port. */
    private LocalHealthIssue reportedIssue = LocalHealthIssue.NONE;

    /**
     * Starts the membership of this router in a new life.
     *
     * @param now Unix time in nanoseconds; its milliseconds identify the life
     * @param random the source of all randomness
     * @param port receives the datagrams to send and the changes of the view
     */
    public Members(MembersSettings settings, long now, RandomGenerator random, MembersPort port) {
        this.settings = settings;
        this.random = random;
        this.port = port;
        this.now = now;
        nextPeriod = now;
        self = Ids.of(settings.name());
        tier = (int) Ids.of(settings.tier());
        roster = new Roster(settings, self, new MembersPort() {
            @Override
            public void send(InetSocketAddress to, byte[] datagram) {
                throw new IllegalStateException("the roster sends nothing");
            }

            @Override
            public void changed(Change change) {
                if (change.kind() == Kind.SUSPECTED && change.why().contains(" by=" + settings.name() + " ")) {
                    count(Traffic.SUSPICIONS, 1);
                }
                port.changed(change);
            }
        });
        parts = new Parts(self, roster, random);
        watch = new Watch(
                settings,
                self,
                roster,
                (to, verdict) -> send(to.address, Message.Kind.HEARTBEAT, false, withSuspicion(to, verdict), true));
        localHealth = new LocalHealth(settings, self, roster, watch, now);
        selfState = new SelfState(settings, self, now, roster, localHealth, port);
    }

    private void count(Traffic what, long more) {
        traffic.merge(what, more, Long::sum);
    }

    /**
     * Advances the clock: sends heartbeats that are due, updates the health of this router, and suspects or fails
     * silent members. The caller calls this about every 50 ms.
     *
     * @param nanos Unix time in nanoseconds
     */
    public void tick(long nanos) {
        now = nanos;
        if (left) {
            return;
        }
        localHealth.tick(now);
        if (now >= nextPeriod) {
            nextPeriod = Math.max(now, nextPeriod + settings.periodNanos());
            runPeriod();
        }
        boolean hadIssue = localHealth.hasIssue();
        LocalHealthIssue issue = localHealth.evaluate(now);
        if (hadIssue && issue == LocalHealthIssue.NONE) {
            watch.restartSilence(now);
        }
        watch.checkSubjects(now, issue != LocalHealthIssue.NONE);
        watch.failExpiredSuspects(now, issue != LocalHealthIssue.NONE);
        issue = localHealth.evaluate(now);
        if (issue != reportedIssue) {
            port.changed(new Change(
                    Kind.DOUBT,
                    settings.name(),
                    settings.number(),
                    "doubt=" + issue.word() + " before=" + reportedIssue.word()));
            reportedIssue = issue;
        }
    }

    /** Sends the heartbeats, probes and comparisons of one period. */
    private void runPeriod() {
        periods++;
        repliesLeft = MAX_REPLIES_PER_PERIOD;
        Set<Long> to = ownWatchers();
        if (localHealth.issue() == LocalHealthIssue.UNHEARD || localHealth.issue() == LocalHealthIssue.MINORITY) {
            for (int i = 0; i < EXTRA_TARGETS; i++) {
                Member other = randomPresentMember();
                if (other != null) {
                    to.add(other.id);
                }
            }
        }
        to.forEach(id -> heartbeat(roster.find(id)));
        if (periods % COMPARE_PERIODS == 1 || to.isEmpty()) {
            probe(to.isEmpty() ? settings.watchers() : 1);
        }
        if (periods % COMPARE_PERIODS == 0) {
            compare(randomPresentMember());
            roster.forget(now);
        }
        if (!differing.isEmpty()) {
            long one = differing.iterator().next();
            differing.remove(one);
            compare(roster.find(one));
        }
    }

    /** Returns the ids of the routers that monitor this one, in the order of the rings. */
    private Set<Long> ownWatchers() {
        Set<Long> watchers = new LinkedHashSet<>();
        for (long id : roster.rings.watchers(self)) {
            watchers.add(id);
        }
        return watchers;
    }

    /** Returns a random present member; null if there is none. */
    private Member randomPresentMember() {
        int others = roster.present() - 1;
        int left = others == 0 ? 0 : random.nextInt(others);
        for (Member member : roster.all()) {
            if (!member.state.isGone() && left-- == 0) {
                return member;
            }
        }
        return null;
    }

    /**
     * Adds the suspicion of the recipient, if there is one, to the records. A suspect is informed in each message,
     * because messages may be lost or overtake one another and the suspect has little time to refute.
     */
    private List<Record> withSuspicion(Member to, Record... records) {
        List<Record> all = new ArrayList<>(List.of(records));
        if (to.state == State.SUSPECT) {
            all.add(roster.record(to));
        }
        return all;
    }

    private void heartbeat(Member to) {
        boolean unknown = to.heardAt == 0 || periods % INTRODUCE_PERIODS == 0;
        send(to.address, Message.Kind.HEARTBEAT, unknown, withSuspicion(to), true);
        if (settings.toldPlaces()
                && to.reportedAddress != null
                && !to.reportedAddress.equals(to.address)
                && watch.isLate(to, now)) {
            // Two routers that both moved would otherwise look for each other at the addresses of an outdated list.
            send(to.reportedAddress, Message.Kind.HEARTBEAT, true, List.of(), false);
        }
    }

    /**
     * Sends introductions to addresses of routers that may be running but are not in the view: configured peers, and
     * members that failed or left.
     *
     * @param most the maximum number of addresses to contact
     */
    private void probe(int most) {
        Map<InetSocketAddress, List<Record>> addresses = new LinkedHashMap<>();
        for (int i = 0; i < settings.peers().size(); i++) {
            if (i != settings.number()) {
                addresses.put(settings.peers().get(i), List.of());
            }
        }
        for (Member member : roster.all()) {
            if (member.state.isGone()) {
                // The record informs the member of the state in which this router holds it.
                addresses.put(member.address, List.of(roster.record(member)));
                if (member.number >= 0
                        && member.number < settings.peers().size()
                        && member.number != settings.number()) {
                    addresses.put(settings.peers().get(member.number), List.of(roster.record(member)));
                }
            }
        }
        for (Member member : roster.all()) {
            if (!member.state.isGone()) {
                addresses.remove(member.address);
            }
        }
        List<InetSocketAddress> all = new ArrayList<>(addresses.keySet());
        for (int i = 0; i < Math.min(most, all.size()); i++) {
            InetSocketAddress to = all.get(Math.floorMod(nextProbe++, all.size()));
            rememberProbed(to);
            send(to, Message.Kind.HEARTBEAT, true, addresses.get(to), true);
        }
    }

    /** Keeps the address among the most recently probed ones, dropping the oldest beyond the limit. */
    private void rememberProbed(InetSocketAddress to) {
        recentlyProbed.remove(to);
        recentlyProbed.add(to);
        if (recentlyProbed.size() > settings.watchers() + EXTRA_TARGETS) {
            recentlyProbed.remove(recentlyProbed.iterator().next());
        }
    }

    /** Sends the digests of all parts of the view to a member and requests its digests in return. */
    private void compare(Member with) {
        if (with != null) {
            send(with.address, Message.Kind.COMPARE, false, parts.digests(), false, true);
        }
    }

    private Introduction introduction() {
        return new Introduction(
                self, selfState.life(), selfState.incarnation(), settings.number(), null, settings.name());
    }

    /**
     * Sends a message.
     *
     * @param withIntroduction whether the message starts with this router's introduction
     * @param withGossip whether the remaining room is filled with updates from the gossip queue
     */
    private void send(
            InetSocketAddress to,
            Message.Kind kind,
            boolean withIntroduction,
            List<Record> records,
            boolean withGossip) {
        send(to, kind, withIntroduction, records, withGossip, false);
    }

    private void send(
            InetSocketAddress to,
            Message.Kind kind,
            boolean withIntroduction,
            List<Record> records,
            boolean withGossip,
            boolean requestsDigests) {
        if (to == null) {
            return;
        }
        List<Record> all = new ArrayList<>();
        if (withIntroduction) {
            all.add(introduction());
        }
        all.addAll(records);
        if (withGossip) {
            int room = Message.MAX_BYTES
                    - Message.HEADER_BYTES
                    - all.stream().mapToInt(Record::bytes).sum();
            all.addAll(roster.gossip.take(room, roster.present()));
        }
        byte[] bytes = new Message(
                        kind,
                        localHealth.hasIssue(),
                        requestsDigests,
                        tier,
                        self,
                        selfState.life(),
                        selfState.incarnation(),
                        selfState.nextSequence(),
                        roster.digest(),
                        (int) Math.round(Member.SILENT_FRACTION_SCALE * localHealth.silentFraction()),
                        all)
                .encode();
        count(Traffic.SENT, 1);
        count(Traffic.SENT_BYTES, bytes.length);
        port.send(to, bytes);
    }

    /**
     * Returns the first byte of all membership datagrams, which distinguishes them from the datagrams of the ring.
     */
    public static byte firstByte() {
        return Message.MAGIC;
    }

    /**
     * Handles a received datagram.
     *
     * @param nanos Unix time in nanoseconds
     * @param from the address of the sender
     */
    public void heard(long nanos, InetSocketAddress from, byte[] datagram) {
        now = nanos;
        Message message;
        try {
            message = Message.decode(datagram);
        } catch (BadMessageException e) {
            count(Traffic.DROPPED_UNREADABLE, 1);
            return;
        }
        if (left || message.tier() != tier) {
            count(Traffic.DROPPED_STRANGER, left ? 0 : 1);
            return;
        }
        if (isImplausible(message.life(), message.incarnation())) {
            count(Traffic.DROPPED_ABSURD, 1);
            return;
        }
        if (message.sender() == self) {
            selfState.handleMessageOfOwnName(message.life(), now);
            return;
        }
        Member sender = sender(message, from);
        if (sender != null && isNew(sender, message, from)) {
            count(Traffic.TAKEN, 1);
            handleMessage(sender, message, from);
        }
    }

    /** Returns whether a life or an incarnation is outside the plausible range. */
    private boolean isImplausible(long aLife, int anIncarnation) {
        return aLife <= 0
                || aLife > now / MILLI + MAX_AHEAD_OF_CLOCK_MILLIS
                || anIncarnation < 0
                || anIncarnation > MAX_INCARNATION;
    }

    /**
     * Returns the sender of a message, adding it to the view if the message introduces it. Returns null for an
     * unknown sender, which is asked to introduce itself.
     */
    private Member sender(Message message, InetSocketAddress from) {
        Member known = roster.find(message.sender());
        for (Record record : message.records()) {
            if (record instanceof Introduction introduction && introduction.id() == message.sender()) {
                if (message.kind() == Message.Kind.LEAVE && known == null) {
                    return null;
                }
                return roster.handleIntroduction(
                        new Introduction(
                                introduction.id(),
                                message.life(),
                                message.incarnation(),
                                introduction.number(),
                                null,
                                introduction.name()),
                        introduction.id(),
                        true,
                        from,
                        now);
            }
        }
        if (known == null) {
            count(Traffic.DROPPED_STRANGER, 1);
            if (repliesLeft-- > 0) {
                send(from, Message.Kind.WHO, true, List.of(), false);
            }
        }
        return known;
    }

    /**
     * Returns whether a message is neither delayed nor duplicated and belongs to the known life of its sender or a
     * later one.
     */
    private boolean isNew(Member sender, Message message, InetSocketAddress from) {
        if (message.life() < sender.life) {
            count(Traffic.DROPPED_LATE, 1);
            handleEarlierLife(sender, message, from);
            return false;
        }
        if (message.life() == sender.life && message.sequence() - sender.sequence <= 0) {
            count(Traffic.DROPPED_LATE, 1);
            return false;
        }
        return true;
    }

    /**
     * Handles a message of an earlier life of its sender. If such messages continue, a second process is running
     * under the same name; the process is informed of the newer life, and the duplicate name is reported.
     */
    private void handleEarlierLife(Member sender, Message message, InetSocketAddress from) {
        if (message.life() != sender.otherLife) {
            sender.otherLife = message.life();
            sender.otherSequence = message.sequence();
            sender.otherMessages = 0;
        } else if (message.sequence() - sender.otherSequence > 0) {
            sender.otherSequence = message.sequence();
            sender.otherMessages++;
        }
        send(
                from,
                Message.Kind.HEARTBEAT,
                true,
                List.of(new Claim(sender.id, sender.life, sender.incarnation, sender.state, self)),
                false);
        if (now - sender.stateSince > DELAYED_MESSAGE_NANOS
                && sender.otherMessages >= DUPLICATE_NAME_MESSAGES
                && (sender.duplicateReportedAt == 0
                        || now - sender.duplicateReportedAt > DUPLICATE_NAME_REPORT_NANOS)) {
            sender.duplicateReportedAt = now;
            port.changed(new Change(
                    Kind.TWICE,
                    roster.name(sender.id),
                    sender.number,
                    "life=" + sender.life + " place=" + sender.address + " other_life=" + sender.otherLife
                            + " other_place=" + from));
        }
    }

    /** Processes a new message of a known sender. */
    private void handleMessage(Member sender, Message message, InetSocketAddress from) {
        if (message.life() > sender.life) {
            roster.apply(sender, message.life(), message.incarnation(), State.ALIVE, sender.id, now);
        }
        if (message.kind() == Message.Kind.LEAVE) {
            sender.sequence = message.sequence();
            message.records().forEach(record -> handleRecord(sender, record));
            return;
        }
        boolean soon = now - sender.heardAt <= sender.silenceTimeout(settings.periodNanos()) && sender.heardAt != 0;
        sender.sequence = message.sequence();
        sender.address = from;
        sender.recordMessage(now, settings.periodNanos(), !localHealth.hasIssue());
        sender.silentFraction = message.silentFraction();
        localHealth.recordHeard(sender);
        if (message.incarnation() > sender.incarnation) {
            roster.apply(sender, message.life(), message.incarnation(), State.ALIVE, sender.id, now);
        } else if (sender.state == State.SUSPECT) {
            refuteFor(sender, sender.incarnation);
        } else if (sender.state == State.FAILED) {
            // A single message may have been delayed; a live process continues to send.
            sender.messagesSinceFailure = soon ? sender.messagesSinceFailure + 1 : 1;
            if (sender.messagesSinceFailure >= MESSAGES_TO_REVIVE) {
                refuteFor(sender, sender.incarnation);
            }
        }
        for (Record record : message.records()) {
            handleRecord(sender, record);
        }
        if (message.kind() == Message.Kind.WHO) {
            if (repliesLeft-- > 0) {
                send(from, Message.Kind.HEARTBEAT, true, List.of(), false);
            }
        } else if (message.kind() == Message.Kind.COMPARE) {
            answerComparison(sender, message);
        }
        boolean sameDigest = message.digest() == roster.digest();
        if (sameDigest) {
            localHealth.setUnheard(false); // equal digests: the sender knows this router's current incarnation
        }
        sender.digestMismatches = sameDigest ? 0 : sender.digestMismatches + 1;
        if (sender.digestMismatches >= MAX_DIGEST_MISMATCHES) {
            sender.digestMismatches = 0;
            differing.add(sender.id);
        }
    }

    /** Handles a claim about this router. */
    private void handleClaimAboutSelf(long life, int incarnation, State state) {
        if (selfState.handleClaim(life, incarnation, state, now)) {
            // Sends the refutation at once, because a suspect has little time to answer.
            count(Traffic.REFUTATIONS, 1);
            nextPeriod = now;
            roster.gossip.add(self, introduction());
        }
    }

    /**
     * Refutes a claim about a member on the member's behalf, because this router hears it. The next higher
     * incarnation overrides the claim.
     */
    private void refuteFor(Member member, int claimedIncarnation) {
        if (claimedIncarnation < MAX_INCARNATION) {
            count(Traffic.REFUTATIONS, 1);
            roster.apply(member, member.life, claimedIncarnation + 1, State.ALIVE, self, now);
        }
    }

    /** Processes one record of a message. */
    private void handleRecord(Member sender, Record record) {
        if (record instanceof Introduction introduction) {
            if (introduction.id() == self) {
                handleClaimAboutSelf(introduction.life(), introduction.incarnation(), State.ALIVE);
            } else if (introduction.id() != sender.id
                    && !isImplausible(introduction.life(), introduction.incarnation())) {
                Member member = roster.handleIntroduction(introduction, sender.id, false, null, now);
                if (member != null) {
                    member.reportedAddress =
                            introduction.address() == null ? member.reportedAddress : introduction.address();
                    roster.apply(member, introduction.life(), introduction.incarnation(), State.ALIVE, sender.id, now);
                }
            }
        } else if (record instanceof Claim claim && isImplausible(claim.life(), claim.incarnation())) {
            count(Traffic.DROPPED_ABSURD, 1);
        } else if (record instanceof Claim claim && claim.id() == self) {
            handleClaimAboutSelf(claim.life(), claim.incarnation(), claim.state());
        } else if (record instanceof Claim claim) {
            handleClaim(sender, claim);
        } else if (record instanceof Verdict verdict && verdict.id() == self) {
            if (verdict.ear() != Message.Ear.HEARS && repliesLeft-- > 0) {
                send(sender.address, Message.Kind.HEARTBEAT, true, List.of(), true);
            }
        } else if (record instanceof Verdict verdict) {
            watch.handleVerdict(sender, verdict, now);
        }
    }

    /** Handles a claim about another member. */
    private void handleClaim(Member sender, Claim claim) {
        Member member = roster.find(claim.id());
        if (member == null || !member.isOlderThan(claim.life(), claim.incarnation(), claim.state())) {
            return;
        }
        // A suspicion is accepted even if the member was heard just now, since that message may have been its last. The
        // next message of the member refutes the suspicion.
        if (claim.state() == State.FAILED && claim.life() == member.life && watch.heardNow(member, now)) {
            refuteFor(member, claim.incarnation());
        } else {
            roster.apply(
                    member,
                    claim.life(),
                    claim.incarnation(),
                    claim.state(),
                    claim.by() == self ? sender.id : claim.by(),
                    now);
        }
    }

    /**
     * Answers a comparison with the records of the parts that differ, and with digests if the sender requested them.
     */
    private void answerComparison(Member sender, Message message) {
        for (List<Record> answer : parts.answers(message, introduction())) {
            send(sender.address, Message.Kind.HEARTBEAT, false, answer, false);
        }
        if (message.requestsDigests() && parts.hasDifferences(message)) {
            send(sender.address, Message.Kind.COMPARE, false, parts.digests(), false);
        }
    }

    /**
     * Announces the shutdown of this router to the routers that monitor it and stops sending.
     *
     * @param nanos Unix time in nanoseconds
     */
    public void leave(long nanos) {
        now = nanos;
        if (!left) {
            Claim claim = new Claim(self, selfState.life(), selfState.incarnation(), State.LEFT, self);
            for (InetSocketAddress address : leaveTargets()) {
                send(address, Message.Kind.LEAVE, false, List.of(claim), false);
                send(address, Message.Kind.LEAVE, false, List.of(claim), false);
            }
            left = true;
        }
    }

    /**
     * Returns the addresses to which a shutdown is announced: the routers that monitor this one, some other members,
     * and the addresses probed recently. A router that shuts down before it has heard any other would otherwise be
     * declared failed by the routers that have already heard it.
     */
    private Set<InetSocketAddress> leaveTargets() {
        Set<Long> members = ownWatchers();
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        for (Member member : roster.all()) {
            if (members.contains(member.id)
                    || member.state == State.ALIVE
                            && members.size() < settings.watchers() + EXTRA_TARGETS
                            && members.add(member.id)) {
                addresses.add(member.address);
            }
        }
        addresses.addAll(recentlyProbed);
        return addresses;
    }

    /**
     * Returns the reason for which this router distrusts its view; {@link LocalHealthIssue#NONE} if it trusts the
     * view.
     */
    public LocalHealthIssue doubt() {
        return localHealth.issue();
    }

    /**
     * Returns the current life of this router: its start time in Unix milliseconds, raised if an earlier process of
     * the same name had a later one.
     */
    public long life() {
        return selfState.life();
    }

    /** Returns whether another process with the same router name has been detected. */
    public boolean isTwice() {
        return selfState.hasDuplicateName();
    }

    /** Returns the value of a counter since the start. */
    public long count(Traffic what) {
        return traffic.getOrDefault(what, 0L);
    }

    /**
     * Returns all other members in the order of their names, including members that failed or left until they are
     * forgotten.
     */
    public List<MemberView> view() {
        Map<String, MemberView> views = new TreeMap<>();
        for (Member member : roster.all()) {
            String name = roster.name(member.id);
            Reach reach = member.state.isGone()
                    ? Reach.NOT_HEARD
                    : watch.hears(member, now)
                            ? Reach.DIRECT
                            : member.state == State.SUSPECT ? Reach.NOT_HEARD : Reach.BY_OTHERS;
            views.put(
                    name,
                    new MemberView(
                            name,
                            member.number,
                            member.address,
                            member.state,
                            reach,
                            member.life,
                            member.incarnation,
                            member.stateSince,
                            roster.name(member.reportedBy),
                            member.heardAt));
        }
        return List.copyOf(views.values());
    }

    /**
     * Returns the peer numbers of the present members, including this router. The same object is returned until the
     * set changes.
     */
    public Set<Integer> numbers() {
        return roster.numbers();
    }

    /** Returns a digest of the present members, which is equal on all routers with the same view. */
    public int digest() {
        return roster.digest();
    }

    /** Returns the number of present members, including this router. */
    public int present() {
        return roster.present();
    }

    /**
     * Returns whether this router monitors a member and currently finds it silent.
     *
     * @param name the router name of the member
     */
    public boolean isSilent(String name) {
        Member member = roster.find(Ids.of(name));
        return member != null && watch.subjects().contains(member) && watch.isSilent(member, now);
    }
}
