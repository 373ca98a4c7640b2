package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.Message.Claim;
import slateseam.tier.members.Message.Introduction;
import slateseam.tier.members.Message.Record;

/**
 * All other members that this router knows of, with their states. This router itself is on the rings and in the
 * digests, but has no entry of its own.
 */
final class Roster {
    /**
     * The number of parts into which the ids are divided for anti-entropy; a part is given by the upper four bits of
     * the id.
     */
    static final int PARTS = 16;

    private static final int PART_SHIFT = Long.SIZE - 4;
    /** Limit on the tombstones that are kept; the oldest are dropped first. */
    private static final int MAX_TOMBSTONES = MembersSettings.MOST;

    /** What is kept of a forgotten member, so that outdated claims about its last life do not bring it back. */
    private record Tombstone(long life, int sequence) {}

    private final MembersSettings settings;
    private final long self;
    private final MembersPort port;
    private final Map<Long, Member> members = new HashMap<>();
    private final Map<Long, Tombstone> tombstones = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Tombstone> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };
    /** The members that failed or left and are not forgotten yet. */
    private final Set<Member> gone = new LinkedHashSet<>();

    /** The number of suspect members. */
    private int suspects;
    /**
     * The peer numbers of the present members; null or outdated (see {@link #numbersVersion}) if they must be
     * computed again.
     */
    private Set<Integer> numbers;

    /** The version of the rings for which {@link #numbers} was computed. */
    private int numbersVersion;

    final Rings rings;
    final GossipQueue gossip = new GossipQueue();
    /**
     * The digest of the present members of each part: the XOR of a hash of each member's id, life and incarnation.
     */
    private final int[] digests = new int[PARTS];
    /** Whether the rejection of a member for lack of room has been reported. */
    private boolean full;

    Roster(MembersSettings settings, long self, MembersPort port) {
        this.settings = settings;
        this.self = self;
        this.port = port;
        rings = new Rings(settings.watchers());
        rings.add(self);
    }

    /** Returns a member by its id; null if it is not known. */
    Member find(long id) {
        return members.get(id);
    }

    /** Returns all known members, including those that failed or left. */
    Collection<Member> all() {
        return members.values();
    }

    /** Returns the name of a member, or its id in hexadecimal if the name is not known. */
    String name(long id) {
        Member member = members.get(id);
        return id == self
                ? settings.name()
                : member != null && member.name != null ? member.name : Long.toHexString(id);
    }

    /** Returns the part to which an id belongs. */
    static int part(long id) {
        return (int) (id >>> PART_SHIFT);
    }

    /** Returns the digest of the present members of a part. */
    int digest(int part) {
        return digests[part];
    }

    /** Returns the digest of all present members. */
    int digest() {
        int all = 0;
        for (int digest : digests) {
            all = 31 * all + digest;
        }
        return all;
    }

    /**
     * Adds a member at a life and incarnation to the digest of its part, or removes it if it is already included: the
     * operation is its own inverse.
     */
    void toggleInDigest(long id, long life, int incarnation) {
        digests[part(id)] ^= (int) Ids.mix(Ids.mix(id ^ life) + incarnation);
    }

    private void toggleInDigest(Member member) {
        if (!member.state.isGone()) {
            toggleInDigest(member.id, member.life, member.incarnation);
        }
    }

    /**
     * Handles an introduction and adds the member to the view if it is new.
     *
     * @param by the id of the router that sent the introduction
     * @param introducesItself whether the member introduces itself
     * @param from the address of the sender if the member introduces itself, otherwise null
     * @return the member, or null if the introduction is rejected: the name does not match the id, the introduction
     *     is outdated, or the view is full
     */
    Member handleIntroduction(
            Introduction introduction, long by, boolean introducesItself, InetSocketAddress from, long now) {
        Member member = members.get(introduction.id());
        if (member != null) {
            if (member.name == null || member.number != introduction.number()) {
                member.name = introduction.name();
                member.number = introduction.number();
                numbers = null;
            }
            return member;
        }
        Tombstone tombstone = tombstones.get(introduction.id());
        if (Ids.of(introduction.name()) != introduction.id()
                || tombstone != null && !introducesItself && introduction.life() <= tombstone.life) {
            return null;
        }
        if (members.size() >= settings.most()) {
            if (!full) {
                full = true;
                port.changed(
                        new Change(Kind.FULL, introduction.name(), introduction.number(), "most=" + settings.most()));
            }
            return null;
        }
        tombstones.remove(introduction.id());
        member = new Member(introduction.id());
        member.name = introduction.name();
        member.number = introduction.number();
        InetSocketAddress configured = introduction.number() >= 0
                        && introduction.number() < settings.peers().size()
                ? settings.peers().get(introduction.number())
                : null;
        member.address = from != null
                ? from
                : configured != null ? configured : settings.toldPlaces() ? introduction.address() : null;
        member.startLife(introduction.life(), introduction.incarnation(), now);
        member.stateSince = now;
        member.reportedBy = by;
        if (tombstone != null && introduction.life() <= tombstone.life) {
            member.sequence = tombstone.sequence; // messages sent before the member was forgotten count as delayed
        }
        members.put(introduction.id(), member);
        rings.add(introduction.id());
        toggleInDigest(member);
        gossip.add(introduction.id(), introduction(member));
        port.changed(new Change(Kind.JOINED, member.name, member.number, describe(member) + " before=none"));
        return member;
    }

    /** Returns the introduction of a member as this router knows it. */
    Introduction introduction(Member member) {
        return new Introduction(member.id, member.life, member.incarnation, member.number, member.address, member.name);
    }

    /** Returns the record that informs others of the current state of a member. */
    Record record(Member member) {
        return member.state == State.ALIVE && member.name != null
                ? introduction(member)
                : new Claim(member.id, member.life, member.incarnation, member.state, member.reportedBy);
    }

    /** Returns the cause of a change in the form used by {@link Change#why}. */
    private String describe(Member member) {
        return "life=" + member.life + " incarnation=" + member.incarnation + " by=" + name(member.reportedBy);
    }

    /**
     * Applies a claim about a member if the claim supersedes the known state.
     *
     * @param by the id of the router that made the claim
     * @return whether the claim was applied
     */
    boolean apply(Member member, long life, int incarnation, State state, long by, long now) {
        if (!member.isOlderThan(life, incarnation, state)) {
            return false;
        }
        State previous = member.state;
        boolean newLife = life > member.life;
        toggleInDigest(member);
        if (newLife) {
            member.startLife(life, incarnation, now);
        }
        if (member.incarnation != incarnation) {
            member.incarnation = incarnation;
            member.ears.clear();
            member.silentSince = 0;
        }
        member.state = state;
        member.reportedBy = by;
        if (previous != state || newLife) {
            member.stateSince = now;
            member.messagesSinceFailure = 0;
        }
        suspects += (state == State.SUSPECT ? 1 : 0) - (previous == State.SUSPECT ? 1 : 0);
        if (previous.isGone() && !state.isGone()) {
            gone.remove(member);
            rings.add(member.id);
            member.watchedSince = now;
        } else if (!previous.isGone() && state.isGone()) {
            gone.add(member);
            rings.remove(member.id);
        }
        if (previous == State.SUSPECT && state == State.ALIVE && by != self) {
            member.recordVouch(now);
        }
        member.suspectUntil = state == State.SUSPECT ? now + settings.suspicionNanos() : 0;
        toggleInDigest(member);
        gossip.add(member.id, record(member));
        report(member, previous, newLife);
        return true;
    }

    /** Reports a change of a member's state or life to the port. */
    private void report(Member member, State previous, boolean newLife) {
        if (previous == member.state && !newLife) {
            return;
        }
        Kind kind = switch (member.state) {
            case ALIVE -> newLife ? Kind.JOINED : previous == State.SUSPECT ? Kind.CLEARED : Kind.RETURNED;
            case SUSPECT -> Kind.SUSPECTED;
            case FAILED -> Kind.FAILED;
            case LEFT -> Kind.LEFT;
        };
        port.changed(new Change(kind, name(member.id), member.number, describe(member) + " before=" + previous.word()));
    }

    /** Removes the members that failed or left longer ago than the retention period. */
    void forget(long now) {
        if (gone.isEmpty()) {
            return;
        }
        List<Member> over = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state.isGone() && now - member.stateSince >= settings.forgetNanos()) {
                over.add(member);
            }
        }
        for (Member member : over) {
            members.remove(member.id);
            gone.remove(member);
            tombstones.put(member.id, new Tombstone(member.life, member.sequence));
            full = false;
            port.changed(new Change(
                    Kind.FORGOTTEN,
                    name(member.id),
                    member.number,
                    describe(member) + " before=" + member.state.word()));
        }
    }

    /** Returns the peer numbers of the present members, including this router. */
    Set<Integer> numbers() {
        if (numbers == null || numbersVersion != rings.version()) {
            Set<Integer> found = new HashSet<>(Set.of(settings.number()));
            for (Member member : members.values()) {
                if (!member.state.isGone() && member.number >= 0) {
                    found.add(member.number);
                }
            }
            numbersVersion = rings.version();
            numbers = Collections.unmodifiableSet(found);
        }
        return numbers;
    }

    /** Returns the number of suspect members. */
    int suspects() {
        return suspects;
    }

    /** Returns the members that failed or left and are not forgotten yet. */
    Collection<Member> gone() {
        return gone;
    }

    /** Returns the number of present members, including this router. */
    int present() {
        return rings.size();
    }

    /**
     * Returns the ids of the routers that monitor a member, except those that are suspect themselves and except
     * {@code but}.
     */
    Set<Long> watchers(long id, long but) {
        Set<Long> watchers = new LinkedHashSet<>();
        for (long watcher : rings.watchers(id)) {
            Member member = members.get(watcher);
            if (watcher != but && (member == null || member.state == State.ALIVE)) {
                watchers.add(watcher);
            }
        }
        return watchers;
    }
}
