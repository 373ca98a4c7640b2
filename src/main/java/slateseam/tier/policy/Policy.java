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
 * One router's part in the policy of the tier: what it knows of versions and how old that is, which one it serves by, whether it may
 * serve at all, and, where it votes or leads, its part in deciding. Not thread-safe.
 */
public final class Policy {
    private static final long MILLI = 1_000_000L;
    private static final long ADMIT_NANOS = 300 * MILLI;
    /** What one said of its memory before may be over. */
    private static final long MEMORY_NANOS = 2_000 * MILLI;

    private static final long ASK_NANOS = 300 * MILLI;
    private static final int MOST_UNANSWERED = 64;
    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final long UNKNOWN = Long.MAX_VALUE;

    /** A newer state than is here, which is being got. */
    private record Newer(PolicyMessage.Word word, long provenAt, long holdsAt) {}

    private final PolicySettings settings;
    private final PolicyPort port;
    private final RandomGenerator random;
    private final DocumentStore contents;
    private final Verdicts verdicts = new Verdicts();
    private final Shares shares = new Shares();
    private final Tree tree;
    private final PolicyCoordinator steward;
    /** Polls that are out: when each was sent. */
    private final TreeMap<Integer, Long> polls = new TreeMap<>();
    /** Who said that it knows of no group. */
    private final Set<Integer> without = new HashSet<>();

    private final Map<Integer, Long> memories = new HashMap<>();
    private final Map<Integer, Long> memoriesAt = new HashMap<>();
    private Raft raft;
    /** By the log, where it votes or is to. */
    private Versions replica = new Versions();
    /** By what others have told. */
    private Versions learned = new Versions();

    private Newer newer;
    private long group;
    private int leader = -1;
    private Set<Integer> voting = Set.of();
    private Set<Integer> alive = Set.of();
    private boolean sure;
    private long now;
    private long knownAt = NEVER;
    /** The same before the newest version was known here. */
    private long knownBefore = NEVER;
    /** When versions that were committed hold, those that do not hold here yet; {@link #UNKNOWN} for one that may hold already. */
    private final TreeMap<Integer, Long> pending = new TreeMap<>();
    /** The newest that was committed, as far as is known here. */
    private int newest;

    private Version held;
    private long heldAt;
    private boolean serves;
    private int sequence;
    private long nextPoll;
    private long nextAdmit;
    private Version asks;
    private long nextAsk;
    private byte[] stateHash = DocumentStore.hash(new byte[0]);
    private int stateLength;
    private long stateRevision = -1;
    private String twoGroups = "";
    private String cannot = "";

    /**
     * Begins.
     *
     * @param memory of the voter, as its disk had it; null for none that can be relied on
     */
    public Policy(PolicySettings settings, DurableState memory, long now, RandomGenerator random, PolicyPort port) {
        this.settings = settings;
        this.port = port;
        this.random = random;
        this.now = now;
        contents = new DocumentStore((router, talk) -> port.send(router, talk.encode()));
        tree = new Tree(settings, random);
        steward = new PolicyCoordinator(
                settings, contents, verdicts, shares, port, command -> raft.propose(command.encode()));
        if (memory == null) {
            remember();
        } else {
            raft = new Raft(settings.raft(), memory, true, now, random, new Log());
            group = raft.group();
        }
    }

    /** Its part in the log's protocol. */
    private final class Log implements RaftPort {
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
                contents.want(hash, length, from);
            }
            return content;
        }

        @Override
        public byte[] offer(byte[] state) {
            return contents.put(state);
        }

        @Override
        public void memoryLost(String why) {
            lost = why;
        }
    }

    private String lost;

    /** A memory begins, as another seat. */
    private void remember() {
        DurableState stable = new DurableState();
        DurableState.Begin begin = new DurableState.Begin(0, new Voter(settings.me(), 1 + (random.nextLong() >>> 2)));
        stable.apply(begin);
        raft = new Raft(settings.raft(), stable, false, now, random, new Log());
        port.persist(0, begin);
    }

    private void forget() {
        port.tell("policy-memory", "lost=\"" + lost + "\"");
        port.forget(lost);
        lost = null;
        learned = current();
        replica = new Versions();
        remember();
    }

    /** Changes of the voter's memory up to this number last. */
    public void persisted(long number) {
        raft.persisted(number);
        after();
    }

    /** Who is there, by the members' view, with this router; and whether it trusts that. */
    public void view(Set<Integer> routers, boolean trusted) {
        alive = routers;
        sure = trusted;
        tree.alive(routers);
    }

    private Versions current() {
        return learned.revision() > replica.revision() ? learned : replica;
    }

    /** Time goes on; to be called every 50 ms or so. */
    public void tick(long nanos) {
        now = nanos;
        contents.tick(now);
        raft.tick(now);
        after();
        boolean second = shares.tick(port.tally(), now);
        boolean leads = raft.role() == Raft.Role.LEADER;
        if (leads) {
            if (holdsAt() == UNKNOWN) {
                pending.put(
                        newest,
                        now + settings.holdNanos()); // nobody tells a leader; by then it holds wherever it was known
            }
            proven();
            if (raft.provenAt() >= 0) {
                steward.look(replica, alive, voting(), sure, pending.isEmpty() ? heldAt : holdsAt(), second, now);
            }
            if (now >= nextAdmit) {
                nextAdmit = now + ADMIT_NANOS;
                memories.keySet().removeIf(router -> now - memoriesAt.getOrDefault(router, NEVER) > MEMORY_NANOS);
                memories.put(settings.me(), raft.self().memory());
                String changed = Admission.look(raft, settings.voters(), memories);
                if (changed != null) {
                    port.tell("policy-seats", changed);
                }
            }
        } else if (now >= nextPoll) {
            nextPoll = now + settings.pollNanos();
            poll();
        }
        if (asks != null && now >= nextAsk) {
            nextAsk = now + ASK_NANOS;
            ask();
        }
        after();
    }

    /** What the leader knows by itself. */
    private void proven() {
        if (raft.role() == Raft.Role.LEADER && raft.provenAt() >= 0) {
            knownAt = Math.max(knownAt, raft.provenAt());
        }
    }

    private void poll() {
        int parent = group == 0 ? tree.next(without) : tree.parent(leader(), voting());
        if (parent < 0) {
            return;
        }
        polls.put(++sequence, now);
        while (polls.size() > MOST_UNANSWERED) {
            polls.pollFirstEntry();
        }
        tree.asked();
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
                                verdicts.bytes(),
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
        // Guards against one that was to be taken in by a leader that leads no longer: the next does not know of it.
        boolean follows = raft.leader() != null && raft.role() != Raft.Role.LEARNER;
        return follows || leader < 0 && raft.leader() != null ? raft.leader().router() : leader;
    }

    private Set<Integer> voting() {
        Set<Integer> routers = new HashSet<>();
        raft.seats().forEach(seat -> routers.add(seat.router()));
        return routers.isEmpty() ? voting : routers;
    }

    /** A datagram came from a router. */
    public void heard(long nanos, int from, byte[] datagram) {
        now = nanos;
        if (datagram.length > 0 && datagram[0] == Rpc.MAGIC) {
            Rpc rpc = Rpc.decode(datagram);
            if (rpc != null) {
                raft.heard(now, rpc);
            }
        } else {
            PolicyMessage talk = PolicyMessage.decode(datagram);
            if (talk instanceof PolicyMessage.Poll poll) {
                polled(from, poll);
            } else if (talk instanceof PolicyMessage.Word word) {
                told(from, word);
            } else if (talk instanceof PolicyMessage.Want want) {
                contents.asked(from, want);
            } else if (talk instanceof PolicyMessage.Part part) {
                contents.came(part);
            } else if (talk instanceof PolicyMessage.Ask ask && raft.role() == Raft.Role.LEADER) {
                steward.asked(ask, replica, now);
            }
        }
        after();
    }

    /** The first bytes of all its datagrams, by which they are told from others. */
    public static byte[] firstBytes() {
        return new byte[] {Rpc.MAGIC, PolicyMessage.MAGIC};
    }

    private void polled(int from, PolicyMessage.Poll poll) {
        memories.put(from, poll.memory());
        memoriesAt.put(from, now);
        if (poll.group() == group) {
            verdicts.take(poll);
            shares.told(poll, now);
        }
        proven();
        long age = knownAt == NEVER ? -1 : Math.min(Integer.MAX_VALUE, (now - knownAt + MILLI - 1) / MILLI);
        long holdsIn = Math.min(Integer.MAX_VALUE, holdsIn(now) / MILLI);
        state();
        port.send(
                from,
                new PolicyMessage.Word(
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

    /** The state as others get it, worked out when it has changed. */
    private void state() {
        if (stateRevision != current().revision()) {
            stateRevision = current().revision();
            byte[] bytes = current().encode();
            stateHash = contents.put(bytes);
            stateLength = bytes.length;
        }
    }

    private void told(int from, PolicyMessage.Word word) {
        Long sentAt = polls.remove(word.sequence());
        if (sentAt == null) {
            return;
        }
        tree.answered();
        if (word.group() == 0) {
            without.add(from);
            return;
        }
        if (group == 0) {
            group = word.group();
            port.tell("policy-group", "group=" + Long.toHexString(group) + " by=" + from);
        }
        if (word.group() != group) {
            String both = Long.toHexString(group) + " and " + Long.toHexString(word.group()) + " at router " + from;
            if (!both.equals(twoGroups)) {
                twoGroups = both;
                port.tell("policy-two-groups", "groups=\"" + both + "\"");
            }
            return;
        }
        leader = word.leader();
        voting = new HashSet<>(Arrays.stream(word.voters()).boxed().toList());
        if (word.ageMillis() < 0) {
            return;
        }
        long provenAt = sentAt - word.ageMillis() * MILLI;
        long itHoldsAt = now + word.holdsInMillis() * MILLI;
        if (word.revision() <= current().revision()) {
            // Whoever has more has all that was decided until then.
            knownAt = Math.max(knownAt, provenAt);
            if (word.revision() == current().revision()) {
                holdsNoLater(itHoldsAt);
            }
        } else {
            newer = new Newer(word, provenAt, itHoldsAt);
            contents.want(word.hash(), word.length(), from);
        }
    }

    /** Takes up what has come meanwhile. */
    private void after() {
        if (lost != null) {
            forget();
        }
        group = raft.group() != 0 ? raft.group() : group;
        adopt();
        Versions versions = current();
        Version last = versions.newest();
        if (last != null && last.number() != newest) {
            learn(versions, last);
        }
        if (newer != null && newer.word.revision() == versions.revision() && last != null) {
            holdsNoLater(newer.holdsAt);
            newer = null;
        }
        pin(versions);
        examine(versions.open());
        if (now >= holdsAt()) {
            pending.headMap(newest).clear(); // what came before it is over
        }
        while (!pending.isEmpty()
                && now >= pending.firstEntry().getValue()
                && hold(versions.find(pending.firstKey()))) {
            pending.pollFirstEntry();
        }
        knownBefore = knownAt;
        boolean may = mayServe(now);
        if (may != serves) {
            serves = may;
            port.tell(may ? "policy-serves" : "policy-refuses", state(last));
        }
    }

    /** Versions were committed that were not known here; all but the newest may hold elsewhere since long. */
    private void learn(Versions versions, Version last) {
        for (Version one : versions.all()) {
            if (one.isDecidedFor() && one.number() > newest && one.number() != last.number()) {
                pending.put(one.number(), one.state() == Version.State.SETTLED ? now : UNKNOWN);
            }
        }
        newest = last.number();
        // It was committed after what was known before, so it holds nowhere before this; who knew nothing cannot tell.
        pending.put(newest, knownBefore == NEVER ? UNKNOWN : knownBefore + settings.holdNanos());
    }

    /** Another knows when the newest holds. */
    private void holdsNoLater(long at) {
        if (pending.containsKey(newest) && at < pending.get(newest)) {
            pending.put(newest, at);
        }
    }

    private long holdsAt() {
        return pending.getOrDefault(newest, NEVER);
    }

    private void adopt() {
        if (newer == null) {
            return;
        }
        if (newer.word.revision() > current().revision()) {
            byte[] bytes = contents.get(newer.word.hash());
            Versions versions = bytes == null ? null : Versions.decode(bytes);
            if (versions == null || versions.revision() != newer.word.revision()) {
                return;
            }
            learned = versions;
        }
        knownAt = Math.max(knownAt, newer.provenAt);
        if (current().newest() == null || newer.word.revision() != current().revision()) {
            newer = null;
        }
    }

    private void pin(Versions versions) {
        Set<ByteBuffer> some = new HashSet<>();
        for (Version one : new Version[] {
            versions.open(),
            versions.newest(),
            held,
            versions.newest() == null ? null : versions.before(versions.newest())
        }) {
            if (one != null) {
                some.add(ByteBuffer.wrap(one.hash()));
            }
        }
        some.add(ByteBuffer.wrap(stateHash));
        if (asks != null) {
            some.add(ByteBuffer.wrap(asks.hash()));
        }
        contents.pin(some);
    }

    /** Looks at the version that is open: whether this router takes it. */
    private void examine(Version open) {
        int number = open == null ? 0 : open.number();
        if (verdicts.number() != number) {
            verdicts.begin(number);
        }
        if (open == null || verdicts.has(settings.me()) || verdicts.refuser() == settings.me()) {
            return;
        }
        byte[] document = document(open);
        if (document != null) {
            String wrong = port.check(document);
            if (wrong == null) {
                verdicts.accept(settings.me());
            } else {
                verdicts.refuse(settings.me(), wrong);
            }
            nextPoll = Math.min(nextPoll, now); // so that it is known at once
        }
    }

    private byte[] document(Version version) {
        byte[] document = contents.get(version.hash());
        if (document == null) {
            int from = tree.parent(leader(), voting());
            if (from >= 0) {
                contents.want(version.hash(), version.length(), from);
            }
            document = contents.get(version.hash());
        }
        return document;
    }

    private boolean hold(Version version) {
        byte[] document = version == null ? null : document(version);
        String wrong = document == null ? "" : port.check(document);
        if (wrong != null) {
            String told = version == null || document == null
                    ? null
                    : "version=" + version.number() + " fault=\"" + wrong + "\"";
            if (told != null && !told.equals(cannot)) {
                cannot = told; // it was away when it was decided, and can serve by none now
                port.tell("policy-cannot", told);
            }
            return false;
        }
        held = version;
        heldAt = now;
        port.holds(version, document);
        return true;
    }

    /** Whether requests may be served by what is in force here. */
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

    /** Whether most have said that they know of no group: then each serves by its own file. */
    private boolean isWithout() {
        return 2 * (without.size() + 1) > settings.routers();
    }

    /** Whether it serves by a version of which it cannot know whether it is the newest. */
    public boolean isStale(long nanos) {
        return group != 0
                && held != null
                && held.stale()
                && (knownAt == NEVER || nanos - knownAt > settings.leaseNanos());
    }

    /** Begins a group, in which the voters that are named are taken in one by one; why it cannot, or null. */
    public String begin() {
        if (group != 0) {
            return "there is a group: " + Long.toHexString(group);
        }
        if (!settings.voters().contains(settings.me())) {
            return "router " + settings.me() + " is not among those that are to vote";
        }
        if (!sure || alive.size() < settings.routers() || without.size() < settings.routers() - 1) {
            return "not all routers are there: " + alive.size() + " of " + settings.routers() + ", and "
                    + without.size() + " have said that they know of no group";
        }
        raft.begin(1 + (random.nextLong() >>> 2));
        after();
        return null;
    }

    /** Proposes a document, until it is known what became of it; the version as it was asked for. */
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
        ask(version);
        return version;
    }

    /** Proposes to take the newest version back; null if there is none. */
    public Version undo() {
        Version last = current().newest();
        if (last == null) {
            return null;
        }
        Version version =
                PolicyCoordinator.undo(last, current().before(last), settings.me(), port.unixMillis(), "by hand");
        ask(version);
        return version;
    }

    private void ask(Version version) {
        asks = version;
        nextAsk = now;
        ask();
    }

    private void ask() {
        if (outcome(asks) != null) {
            asks = null;
            return;
        }
        PolicyMessage.Ask ask = new PolicyMessage.Ask(settings.me(), asks);
        if (raft.role() == Raft.Role.LEADER) {
            steward.asked(ask, replica, now);
        } else if (leader() >= 0) {
            port.send(leader(), ask.encode());
        }
    }

    /** What became of a proposal: a version's state, why it was turned down, or null while that is not known. */
    public String outcome(Version asked) {
        Version version = current().find(asked.name());
        if (version != null && version.isLike(asked.name(), asked.hash())) {
            return version.state() == Version.State.PROPOSED
                    ? null
                    : version.state().word();
        }
        String rejected = current().rejected(asked.name(), asked.hash());
        return rejected == null ? null : "rejected: " + rejected;
    }

    /** All versions that it knows of. */
    public Versions versions() {
        return current();
    }

    /** The version that is served by; null for what the router's own file says. */
    public Version held() {
        return held;
    }

    /** A document by its version; null if it is not here. */
    public byte[] documentOf(Version version) {
        return contents.get(version.hash());
    }

    /** How old what it knows is, in nanoseconds; -1 if it knows nothing. */
    public long age(long nanos) {
        return knownAt == NEVER ? -1 : nanos - knownAt;
    }

    /** How long until the newest version holds; 0 if it does. */
    public long holdsIn(long nanos) {
        return Math.max(0, holdsAt() - nanos);
    }

    /** Its part in the log's protocol. */
    public Raft raft() {
        return raft;
    }

    /** The group that it is in; 0 for none. */
    public long group() {
        return group;
    }

    /** Who takes the open version and who does not, for people. */
    public String verdicts() {
        return verdicts.number() == 0
                ? "none"
                : verdicts.refuser() >= 0
                        ? "refused by " + verdicts.refuser() + ": " + verdicts.why()
                        : "accepted by "
                                + new ArrayList<>(alive.stream()
                                        .filter(verdicts::has)
                                        .sorted()
                                        .toList());
    }

    private String state(Version last) {
        return "group=" + Long.toHexString(group) + " holds=" + (held == null ? 0 : held.number()) + " newest="
                + (last == null ? 0 : last.number())
                + " age_ms=" + (knownAt == NEVER ? -1 : (now - knownAt) / MILLI) + " leader=" + leader() + " role="
                + raft.role().name().toLowerCase(java.util.Locale.ROOT);
    }
}
