package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import slateseam.tier.agreement.Admission;
import slateseam.tier.agreement.DurableState;
import slateseam.tier.agreement.Entry;
import slateseam.tier.agreement.Raft;
import slateseam.tier.agreement.RaftPort;
import slateseam.tier.agreement.Rpc;
import slateseam.tier.agreement.Voter;

/**
 * One router's participant in the shared policy of the tier. It tracks the versions known to this router and how
 * recent that knowledge is, which version is in effect here, and whether the router may serve requests at all. At a
 * voter or leader it also takes part in deciding on versions through the replicated log. Not thread-safe.
 */
public final class Policy {
    private static final long MILLI = 1_000_000L;
    /** Interval between the leader's checks for voters to admit or replace. */
    private static final long ADMIT_INTERVAL_NANOS = 300 * MILLI;
    /** Time for which a reported identity of a durable state is used; the router may lose that state at any time. */
    private static final long MAX_MEMORY_AGE_NANOS = 2_000 * MILLI;

    /** Interval at which a proposal is repeated until its outcome is known. */
    private static final long PROPOSE_INTERVAL_NANOS = 300 * MILLI;
    /** Maximum number of polls whose reply is still accepted; the oldest are forgotten first. */
    private static final int MAX_UNANSWERED_POLLS = 64;

    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final long UNKNOWN = Long.MAX_VALUE;

    /** A newer state that is being fetched, when it was proven the newest, and when its newest version takes effect. */
    private record Newer(PolicyMessage.PollReply reply, long provenAt, long holdsAt) {}

    private final PolicySettings settings;
    private final PolicyPort port;
    private final RandomGenerator random;
    private final DocumentStore contents;
    private final Verdicts verdicts = new Verdicts();
    private final Shares shares = new Shares();
    private final Tree tree;
    private final PolicyCoordinator coordinator;
    /** Send times of the polls that are not answered yet, by sequence number. */
    private final TreeMap<Integer, Long> polls = new TreeMap<>();
    /** Routers that have answered that they know of no group. */
    private final Set<Integer> withoutGroup = new HashSet<>();

    /** Identity of each router's durable state, as the router last reported it. */
    private final Map<Integer, Long> reportedMemories = new HashMap<>();

    private final Map<Integer, Long> memoryReportedAt = new HashMap<>();
    private Raft raft;
    /** Versions by the replicated log, if this router votes or is to become a voter. */
    private Versions replica = new Versions();
    /** Versions as learned from other routers. */
    private Versions learned = new Versions();

    private Newer newer;
    private long group;
    private int leader = -1;
    private Set<Integer> voting = Set.of();
    private Set<Integer> alive = Set.of();
    private boolean viewTrusted;
    private long now;
    /** The latest time for which it is proven that this router knew everything that was decided. */
    private long knownAt = NEVER;
    /** The value of {@link #knownAt} before the newest version became known here. */
    private long knownBefore = NEVER;
    /** When committed versions not in effect here take effect; {@link #UNKNOWN} if that may have happened elsewhere. */
    private final TreeMap<Integer, Long> pending = new TreeMap<>();
    /** Number of the newest committed version known here; 0 for none. */
    private int newest;

    private Version held;
    private long heldAt;
    private boolean serving;
    private int sequence;
    private long nextPollAt;
    private long nextAdmitAt;
    private Version openProposal;
    private long nextProposeAt;
    private byte[] stateHash = DocumentStore.hash(new byte[0]);
    private int stateLength;
    private long stateRevision = -1;
    private String reportedGroups = "";
    private String reportedFault = "";

    /**
     * Creates the participant of one router.
     *
     * @param memory the voter's durable state as read from disk; null if there is none that can be relied on
     * @param now the current time in nanoseconds
     */
    public Policy(PolicySettings settings, DurableState memory, long now, RandomGenerator random, PolicyPort port) {
        this.settings = settings;
        this.port = port;
        this.random = random;
        this.now = now;
        contents = new DocumentStore((router, message) -> port.send(router, message.encode()));
        tree = new Tree(settings, random);
        coordinator = new PolicyCoordinator(
                settings, contents, verdicts, shares, port, command -> raft.propose(command.encode()));
        if (memory == null) {
            beginDurableState();
        } else {
            raft = new Raft(settings.raft(), memory, true, now, random, new LogPort());
            group = raft.group();
        }
    }

    /** Connects the replicated log to this policy: transport, durable state and the versions as the state machine. */
    private final class LogPort implements RaftPort {
        @Override
        public void send(Voter to, Rpc message) {
            port.send(to.router(), message.encode());
        }

        @Override
        public void persist(long number, DurableState.Change change) {
            port.persist(number, change);
        }

        @Override
        public void apply(long index, Entry entry) {
            if (entry.kind() == Entry.Kind.COMMAND) {
                replica.apply(entry.body());
            }
        }

        @Override
        public byte[] state() {
            return replica.encode();
        }

        @Override
        public void install(long index, byte[] state) {
            Versions versions = Versions.decode(state);
            replica = versions == null ? new Versions() : versions;
        }

        @Override
        public byte[] content(byte[] hash, int length, int from) {
            byte[] content = contents.get(hash);
            if (content == null) {
                contents.fetch(hash, length, from);
            }
            return content;
        }

        @Override
        public byte[] offer(byte[] state) {
            return contents.put(state);
        }

        @Override
        public void memoryLost(String why) {
            lostCause = why;
        }
    }

    private String lostCause;

    /** Starts with an empty durable state of a new identity, which makes this router another voter to the log. */
    private void beginDurableState() {
        DurableState stable = new DurableState();
        DurableState.Begin begin = new DurableState.Begin(0, new Voter(settings.me(), 1 + (random.nextLong() >>> 2)));
        stable.apply(begin);
        raft = new Raft(settings.raft(), stable, false, now, random, new LogPort());
        port.persist(0, begin);
    }

    /** Discards a lost durable state, and keeps the versions that were known as learned from others. */
    private void discardDurableState() {
        port.tell("policy-memory", "lost=\"" + lostCause + "\"");
        port.forget(lostCause);
        lostCause = null;
        learned = current();
        replica = new Versions();
        beginDurableState();
    }

    /** Reports that changes of the voter's durable state up to this number are on disk. */
    public void persisted(long number) {
        raft.persisted(number);
        processChanges();
    }

    /** Sets the routers that are alive, including this one, and whether that view can be relied on. */
    public void view(Set<Integer> routers, boolean trusted) {
        alive = routers;
        viewTrusted = trusted;
        tree.setAlive(routers);
    }

    /** Returns the versions with the higher revision of the log's and the learned ones. */
    private Versions current() {
        return learned.revision() > replica.revision() ? learned : replica;
    }

    /** Advances the clock and does the periodic work; must be called about every 50 ms. */
    public void tick(long nanos) {
        now = nanos;
        contents.tick(now);
        raft.tick(now);
        processChanges();
        boolean secondEnded = shares.tick(port.tally(), now);
        boolean leads = raft.role() == Raft.Role.LEADER;
        if (leads) {
            if (holdsAt() == UNKNOWN) {
                // No router tells a leader when a version takes effect; by then it is in effect wherever it is known.
                pending.put(newest, now + settings.holdNanos());
            }
            updateKnownAt();
            if (raft.provenAt() >= 0) {
                coordinator.tick(
                        replica,
                        alive,
                        voting(),
                        viewTrusted,
                        pending.isEmpty() ? heldAt : holdsAt(),
                        secondEnded,
                        now);
            }
            if (now >= nextAdmitAt) {
                nextAdmitAt = now + ADMIT_INTERVAL_NANOS;
                reportedMemories
                        .keySet()
                        .removeIf(router -> now - memoryReportedAt.getOrDefault(router, NEVER) > MAX_MEMORY_AGE_NANOS);
                reportedMemories.put(settings.me(), raft.self().memory());
                String changed = Admission.look(raft, settings.voters(), reportedMemories);
                if (changed != null) {
                    port.tell("policy-seats", changed);
                }
            }
        } else if (now >= nextPollAt) {
            nextPollAt = now + settings.pollNanos();
            poll();
        }
        if (openProposal != null && now >= nextProposeAt) {
            nextProposeAt = now + PROPOSE_INTERVAL_NANOS;
            sendProposal();
        }
        processChanges();
    }

    /** Updates {@link #knownAt} at the leader, which proves by the log that its knowledge is the newest. */
    private void updateKnownAt() {
        if (raft.role() == Raft.Role.LEADER && raft.provenAt() >= 0) {
            knownAt = Math.max(knownAt, raft.provenAt());
        }
    }

    /** Polls the parent in the tree; while no group is known, any router that has not answered yet. */
    private void poll() {
        int parent = group == 0 ? tree.nextWithoutGroup(withoutGroup) : tree.parent(leader(), voting());
        if (parent < 0) {
            return;
        }
        polls.put(++sequence, now);
        while (polls.size() > MAX_UNANSWERED_POLLS) {
            polls.pollFirstEntry();
        }
        tree.pollSent();
        Shares.Sum sum = shares.sum(now);
        port.send(
                parent,
                new PolicyMessage.Poll(
                                group,
                                settings.me(),
                                raft.self().memory(),
                                sequence,
                                current().revision(),
                                verdicts.number(),
                                verdicts.encodeAccepted(),
                                verdicts.refuser(),
                                verdicts.why(),
                                numbers(sum.asked),
                                numbers(sum.served),
                                (int) Math.min(Integer.MAX_VALUE, sum.refused))
                        .encode());
    }

    private static int[] numbers(long[] longs) {
        return Arrays.stream(longs)
                .mapToInt(n -> (int) Math.max(0, Math.min(Integer.MAX_VALUE, n)))
                .toArray();
    }

    private int leader() {
        // A learner prefers the leader that poll replies name: the leader that was to admit it may no longer lead,
        // and the next one does not know of it.
        boolean follows = raft.leader() != null && raft.role() != Raft.Role.LEARNER;
        return follows || leader < 0 && raft.leader() != null ? raft.leader().router() : leader;
    }

    private Set<Integer> voting() {
        Set<Integer> routers = new HashSet<>();
        raft.seats().forEach(seat -> routers.add(seat.router()));
        return routers.isEmpty() ? voting : routers;
    }

    /** Handles a datagram that was received from a router. */
    public void heard(long nanos, int from, byte[] datagram) {
        now = nanos;
        if (datagram.length > 0 && datagram[0] == Rpc.MAGIC) {
            Rpc rpc = Rpc.decode(datagram);
            if (rpc != null) {
                raft.heard(now, rpc);
            }
        } else {
            PolicyMessage message = PolicyMessage.decode(datagram);
            if (message instanceof PolicyMessage.Poll poll) {
                onPoll(from, poll);
            } else if (message instanceof PolicyMessage.PollReply reply) {
                onPollReply(from, reply);
            } else if (message instanceof PolicyMessage.PartsRequest request) {
                contents.onPartsRequest(from, request);
            } else if (message instanceof PolicyMessage.Part part) {
                contents.onPart(part);
            } else if (message instanceof PolicyMessage.ProposalRequest request && raft.role() == Raft.Role.LEADER) {
                coordinator.onProposal(request, replica, now);
            }
        }
        processChanges();
    }

    /** Returns the possible first bytes of this protocol's datagrams, which distinguish them from other datagrams. */
    public static byte[] firstBytes() {
        return new byte[] {Rpc.MAGIC, PolicyMessage.MAGIC};
    }

    /** Handles a poll: records the reported verdicts and sums, and replies with the newest state known here. */
    private void onPoll(int from, PolicyMessage.Poll poll) {
        reportedMemories.put(from, poll.memory());
        memoryReportedAt.put(from, now);
        if (poll.group() == group) {
            verdicts.addFrom(poll);
            shares.report(poll, now);
        }
        updateKnownAt();
        long age = knownAt == NEVER ? -1 : Math.min(Integer.MAX_VALUE, (now - knownAt + MILLI - 1) / MILLI);
        long holdsIn = Math.min(Integer.MAX_VALUE, holdsIn(now) / MILLI);
        encodeState();
        port.send(
                from,
                new PolicyMessage.PollReply(
                                group,
                                settings.me(),
                                poll.sequence(),
                                current().revision(),
                                stateHash,
                                stateLength,
                                (int) age,
                                (int) holdsIn,
                                leader(),
                                voting().stream()
                                        .mapToInt(i -> i)
                                        .limit(Voter.MOST)
                                        .toArray())
                        .encode());
    }

    /** Encodes and stores the state for other routers to fetch, if it has changed since the last call. */
    private void encodeState() {
        if (stateRevision != current().revision()) {
            stateRevision = current().revision();
            byte[] bytes = current().encode();
            stateHash = contents.put(bytes);
            stateLength = bytes.length;
        }
    }

    /** Handles the reply to a poll. */
    private void onPollReply(int from, PolicyMessage.PollReply reply) {
        Long sentAt = polls.remove(reply.sequence());
        if (sentAt == null) {
            return;
        }
        tree.replyReceived();
        if (reply.group() == 0) {
            withoutGroup.add(from);
            return;
        }
        if (group == 0) {
            group = reply.group();
            port.tell("policy-group", "group=" + Long.toHexString(group) + " by=" + from);
        }
        if (reply.group() != group) {
            String groups = Long.toHexString(group) + " and " + Long.toHexString(reply.group()) + " at router " + from;
            if (!groups.equals(reportedGroups)) {
                reportedGroups = groups;
                port.tell("policy-two-groups", "groups=\"" + groups + "\"");
            }
            return;
        }
        leader = reply.leader();
        voting = new HashSet<>(Arrays.stream(reply.voters()).boxed().toList());
        if (reply.ageMillis() < 0) {
            return;
        }
        long provenAt = sentAt - reply.ageMillis() * MILLI;
        long reportedHoldsAt = now + reply.holdsInMillis() * MILLI;
        if (reply.revision() <= current().revision()) {
            // A router with the same or a higher revision knows everything that was decided up to that time.
            knownAt = Math.max(knownAt, provenAt);
            if (reply.revision() == current().revision()) {
                lowerHoldsAt(reportedHoldsAt);
            }
        } else {
            newer = new Newer(reply, provenAt, reportedHoldsAt);
            contents.fetch(reply.hash(), reply.length(), from);
        }
    }

    /**
     * Applies what has changed since the last call: takes over a fetched state, examines the open version, puts
     * versions into effect whose time has come, and reports when the router starts or stops serving.
     */
    private void processChanges() {
        if (lostCause != null) {
            discardDurableState();
        }
        group = raft.group() != 0 ? raft.group() : group;
        adopt();
        Versions versions = current();
        Version last = versions.newest();
        if (last != null && last.number() != newest) {
            recordNewVersions(versions, last);
        }
        if (newer != null && newer.reply.revision() == versions.revision() && last != null) {
            lowerHoldsAt(newer.holdsAt);
            newer = null;
        }
        pin(versions);
        examine(versions.open());
        if (now >= holdsAt()) {
            pending.headMap(newest).clear(); // superseded by the newest version
        }
        while (!pending.isEmpty()
                && now >= pending.firstEntry().getValue()
                && putIntoEffect(versions.find(pending.firstKey()))) {
            pending.pollFirstEntry();
        }
        knownBefore = knownAt;
        boolean mayServeNow = mayServe(now);
        if (mayServeNow != serving) {
            serving = mayServeNow;
            port.tell(mayServeNow ? "policy-serves" : "policy-refuses", describeState(last));
        }
    }

    /** Records newly learned versions; all but the newest may have been in effect elsewhere for a long time. */
    private void recordNewVersions(Versions versions, Version last) {
        for (Version one : versions.all()) {
            if (one.wasCommitted() && one.number() > newest && one.number() != last.number()) {
                pending.put(one.number(), one.state() == Version.State.SETTLED ? now : UNKNOWN);
            }
        }
        newest = last.number();
        // The newest version was committed after the time up to which this router knew everything, so it takes
        // effect nowhere earlier than the hold time after that. A router that knew nothing cannot tell.
        pending.put(newest, knownBefore == NEVER ? UNKNOWN : knownBefore + settings.holdNanos());
    }

    /** Lowers the time at which the newest version takes effect here to the time that another router has told. */
    private void lowerHoldsAt(long at) {
        if (pending.containsKey(newest) && at < pending.get(newest)) {
            pending.put(newest, at);
        }
    }

    private long holdsAt() {
        return pending.getOrDefault(newest, NEVER);
    }

    /** Takes over the newer state, if it has been fetched. */
    private void adopt() {
        if (newer == null) {
            return;
        }
        if (newer.reply.revision() > current().revision()) {
            byte[] bytes = contents.get(newer.reply.hash());
            Versions versions = bytes == null ? null : Versions.decode(bytes);
            if (versions == null || versions.revision() != newer.reply.revision()) {
                return;
            }
            learned = versions;
        }
        knownAt = Math.max(knownAt, newer.provenAt);
        if (current().newest() == null || newer.reply.revision() != current().revision()) {
            newer = null;
        }
    }

    /** Protects the contents that are still needed from eviction. */
    private void pin(Versions versions) {
        Set<ByteBuffer> needed = new HashSet<>();
        for (Version one : new Version[] {
            versions.open(),
            versions.newest(),
            held,
            versions.newest() == null ? null : versions.before(versions.newest())
        }) {
            if (one != null) {
                needed.add(ByteBuffer.wrap(one.hash()));
            }
        }
        needed.add(ByteBuffer.wrap(stateHash));
        if (openProposal != null) {
            needed.add(ByteBuffer.wrap(openProposal.hash()));
        }
        contents.pin(needed);
    }

    /** Checks the open version's document, and records whether this router accepts or refuses the version. */
    private void examine(Version open) {
        int number = open == null ? 0 : open.number();
        if (verdicts.number() != number) {
            verdicts.begin(number);
        }
        if (open == null || verdicts.hasAccepted(settings.me()) || verdicts.refuser() == settings.me()) {
            return;
        }
        byte[] document = document(open);
        if (document != null) {
            String fault = port.check(document);
            if (fault == null) {
                verdicts.accept(settings.me());
            } else {
                verdicts.refuse(settings.me(), fault);
            }
            nextPollAt = Math.min(nextPollAt, now); // reports the verdict at once
        }
    }

    /** Returns a version's document; if it is not stored here, starts to fetch it and returns null. */
    private byte[] document(Version version) {
        byte[] document = contents.get(version.hash());
        if (document == null) {
            int from = tree.parent(leader(), voting());
            if (from >= 0) {
                contents.fetch(version.hash(), version.length(), from);
            }
            document = contents.get(version.hash());
        }
        return document;
    }

    /** Puts a version into effect; returns false if its document is not here or this router cannot apply it. */
    private boolean putIntoEffect(Version version) {
        byte[] document = version == null ? null : document(version);
        String fault = document == null ? "" : port.check(document);
        if (fault != null) {
            String report = version == null || document == null
                    ? null
                    : "version=" + version.number() + " fault=\"" + fault + "\"";
            if (report != null && !report.equals(reportedFault)) {
                // This router was away when the version was committed, and can serve by no version now.
                reportedFault = report;
                port.tell("policy-cannot", report);
            }
            return false;
        }
        held = version;
        heldAt = now;
        port.holds(version, document);
        return true;
    }

    /**
     * Returns whether this router may serve requests now. It may while its knowledge is not older than the lease and
     * no other version may already be in effect elsewhere; or if the version in effect here may be served when stale;
     * or, without a group, if a majority of the routers know of no group either.
     */
    public boolean mayServe(long nanos) {
        if (group == 0) {
            return isWithout();
        }
        if (held != null && held.stale()) {
            return true;
        }
        boolean known = knownAt != NEVER && nanos - knownAt <= settings.leaseNanos();
        boolean holds = pending.isEmpty()
                || nanos < pending.firstEntry().getValue()
                        && pending.firstEntry().getValue() != UNKNOWN;
        return known && holds;
    }

    /** Returns whether a majority of routers know of no group; each router then serves by its own settings file. */
    private boolean isWithout() {
        return 2 * (withoutGroup.size() + 1) > settings.routers();
    }

    /** Returns whether this router serves by a version that it can no longer prove to be the newest. */
    public boolean isStale(long nanos) {
        return group != 0
                && held != null
                && held.stale()
                && (knownAt == NEVER || nanos - knownAt > settings.leaseNanos());
    }

    /** Creates the group, which then admits the configured voters one by one; returns why it cannot, or null. */
    public String begin() {
        if (group != 0) {
            return "there is a group: " + Long.toHexString(group);
        }
        if (!settings.voters().contains(settings.me())) {
            return "router " + settings.me() + " is not one of the configured voters";
        }
        if (!viewTrusted || alive.size() < settings.routers() || withoutGroup.size() < settings.routers() - 1) {
            return "not all routers are there: " + alive.size() + " of " + settings.routers() + ", and "
                    + withoutGroup.size() + " have said that they know of no group";
        }
        raft.begin(1 + (random.nextLong() >>> 2));
        processChanges();
        return null;
    }

    /**
     * Proposes a document, and repeats it until its outcome is known; {@link Version} explains the parameters.
     *
     * @return the version as it was proposed, for {@link #outcome}
     */
    public Version propose(
            String name, byte[] document, boolean all, boolean stale, int watchSeconds, int boundPoints) {
        Version version = new Version(
                0,
                name,
                contents.put(document),
                document.length,
                all,
                stale,
                watchSeconds,
                boundPoints,
                settings.me(),
                port.unixMillis(),
                0,
                Version.State.PROPOSED,
                "",
                new byte[0]);
        startProposal(version);
        return version;
    }

    /** Proposes to undo the newest version; returns the proposal, or null if no version was committed yet. */
    public Version undo() {
        Version last = current().newest();
        if (last == null) {
            return null;
        }
        Version version =
                PolicyCoordinator.undo(last, current().before(last), settings.me(), port.unixMillis(), "by hand");
        startProposal(version);
        return version;
    }

    private void startProposal(Version version) {
        openProposal = version;
        nextProposeAt = now;
        sendProposal();
    }

    private void sendProposal() {
        if (outcome(openProposal) != null) {
            openProposal = null;
            return;
        }
        PolicyMessage.ProposalRequest request = new PolicyMessage.ProposalRequest(settings.me(), openProposal);
        if (raft.role() == Raft.Role.LEADER) {
            coordinator.onProposal(request, replica, now);
        } else if (leader() >= 0) {
            port.send(leader(), request.encode());
        }
    }

    /** Returns the outcome of a proposal: the version's state or why it was rejected; null while it is not known. */
    public String outcome(Version asked) {
        Version version = current().find(asked.name());
        if (version != null && version.matches(asked.name(), asked.hash())) {
            return version.state() == Version.State.PROPOSED
                    ? null
                    : version.state().word();
        }
        String rejected = current().rejected(asked.name(), asked.hash());
        return rejected == null ? null : "rejected: " + rejected;
    }

    /** Returns all versions that are known to this router. */
    public Versions versions() {
        return current();
    }

    /** Returns the version in effect here; null if the router's own settings file is in effect. */
    public Version held() {
        return held;
    }

    /** Returns the document of a version; null if it is not stored here. */
    public byte[] documentOf(Version version) {
        return contents.get(version.hash());
    }

    /** Returns the age of this router's knowledge in nanoseconds; -1 if it knows nothing. */
    public long age(long nanos) {
        return knownAt == NEVER ? -1 : nanos - knownAt;
    }

    /** Returns the nanoseconds until the newest version takes effect; 0 if it is in effect. */
    public long holdsIn(long nanos) {
        return Math.max(0, holdsAt() - nanos);
    }

    /** Returns this router's instance of the log protocol. */
    public Raft raft() {
        return raft;
    }

    /** Returns the identifier of the group that this router belongs to; 0 for none. */
    public long group() {
        return group;
    }

    /** Describes in words which routers accept the open version, or which one refuses it and why. */
    public String verdicts() {
        return verdicts.number() == 0
                ? "none"
                : verdicts.refuser() >= 0
                        ? "refused by " + verdicts.refuser() + ": " + verdicts.why()
                        : "accepted by "
                                + new ArrayList<>(alive.stream()
                                        .filter(verdicts::hasAccepted)
                                        .sorted()
                                        .toList());
    }

    private String describeState(Version last) {
        return "group=" + Long.toHexString(group) + " holds=" + (held == null ? 0 : held.number()) + " newest="
                + (last == null ? 0 : last.number())
                + " age_ms=" + (knownAt == NEVER ? -1 : (now - knownAt) / MILLI) + " leader=" + leader() + " role="
                + raft.role().name().toLowerCase(java.util.Locale.ROOT);
    }
}
