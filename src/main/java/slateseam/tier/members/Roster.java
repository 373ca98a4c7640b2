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
    private final MembersPort sink;
    private final Map<Long, Member> members = new HashMap<>();
    private final Map<Long, Tombstone> forgotten = new LinkedHashMap<>() {
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
    final GossipQueue news = new GossipQueue();
    /**
     * The digest of the present members of each part: the XOR of a hash of each member's id, life and incarnation.
     */
    private final int[] digests = new int[PARTS];
    /** Whether the rejection of a member for lack of room has been reported. */
    private boolean full;

    Roster(MembersSettings settings, long self, MembersPort sink) {
        this.settings = settings;
        this.self = self;
        this.sink = sink;
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
    void fold(long id, long life, int incarnation) {
        digests[part(id)] ^= (int) Ids.mix(Ids.mix(id ^ life) + incarnation);
    }

    private void fold(Member member) {
        if (!member.state.isGone()) {
            fold(member.id, member.life, member.incarnation);
        }
    }

    /**
     * Handles an introduction and adds the member to the view if it is new.
     *
     * @param by the id of the router that sent the introduction
     * @param itself whether the member introduces itself
     * @param from the address of the sender if the member introduces itself, otherwise null
     * @return the member, or null if the introduction is rejected: the name does not match the id, the introduction
     *     is outdated, or the view is full
     */
    Member introduced(Introduction said, long by, boolean itself, InetSocketAddress from, long now) {
        Member member = members.get(said.id());
        if (member != null) {
            if (member.name == null || member.number != said.number()) {
                member.name = said.name();
                member.number = said.number();
                numbers = null;
            }
            return member;
        }
        Tombstone over = forgotten.get(said.id());
        if (Ids.of(said.name()) != said.id() || over != null && !itself && said.life() <= over.life) {
            return null;
        }
        if (members.size() >= settings.most()) {
            if (!full) {
                full = true;
                sink.changed(new Change(Kind.FULL, said.name(), said.number(), "most=" + settings.most()));
            }
            return null;
        }
        forgotten.remove(said.id());
        member = new Member(said.id());
        member.name = said.name();
        member.number = said.number();
        InetSocketAddress listed =
                said.number() >= 0 && said.number() < settings.peers().size()
                        ? settings.peers().get(said.number())
                        : null;
        member.place = from != null ? from : listed != null ? listed : settings.toldPlaces() ? said.place() : null;
        member.lives(said.life(), said.incarnation(), now);
        member.since = now;
        member.by = by;
        if (over != null && said.life() <= over.life) {
            member.sequence = over.sequence; // messages sent before the member was forgotten count as delayed
        }
        members.put(said.id(), member);
        rings.add(said.id());
        fold(member);
        news.add(said.id(), introduction(member));
        sink.changed(new Change(Kind.JOINED, member.name, member.number, why(member) + " before=none"));
        return member;
    }

    /** Returns the introduction of a member as this router knows it. */
    Introduction introduction(Member member) {
        return new Introduction(member.id, member.life, member.incarnation, member.number, member.place, member.name);
    }

    /** Returns the record that informs others of the current state of a member. */
    Record record(Member member) {
        return member.state == State.ALIVE && member.name != null
                ? introduction(member)
                : new Claim(member.id, member.life, member.incarnation, member.state, member.by);
    }

    /** Returns the cause of a change in the form used by {@link Change#why}. */
    private String why(Member member) {
        return "life=" + member.life + " incarnation=" + member.incarnation + " by=" + name(member.by);
    }

    /**
     * Applies a claim about a member if the claim supersedes the known state.
     *
     * @param by the id of the router that made the claim
     * @return whether the claim was applied
     */
    boolean take(Member member, long life, int incarnation, State state, long by, long now) {
        if (!member.isOlderThan(life, incarnation, state)) {
            return false;
        }
        State was = member.state;
        boolean anew = life > member.life;
        fold(member);
        if (anew) {
            member.lives(life, incarnation, now);
        }
        if (member.incarnation != incarnation) {
            member.incarnation = incarnation;
            member.ears.clear();
            member.silentSince = 0;
        }
        member.state = state;
        member.by = by;
        if (was != state || anew) {
            member.since = now;
            member.afresh = 0;
        }
        suspects += (state == State.SUSPECT ? 1 : 0) - (was == State.SUSPECT ? 1 : 0);
        if (was.isGone() && !state.isGone()) {
            gone.remove(member);
            rings.add(member.id);
            member.watchedSince = now;
        } else if (!was.isGone() && state.isGone()) {
            gone.add(member);
            rings.remove(member.id);
        }
        if (was == State.SUSPECT && state == State.ALIVE && by != self) {
            member.vouchedFor(now);
        }
        member.suspectUntil = state == State.SUSPECT ? now + settings.suspicionNanos() : 0;
        fold(member);
        news.add(member.id, record(member));
        tell(member, was, anew);
        return true;
    }

    /** Reports a change of a member's state or life to the port. */
    private void tell(Member member, State was, boolean anew) {
        if (was == member.state && !anew) {
            return;
        }
        Kind kind = switch (member.state) {
            case ALIVE -> anew ? Kind.JOINED : was == State.SUSPECT ? Kind.CLEARED : Kind.RETURNED;
            case SUSPECT -> Kind.SUSPECTED;
            case FAILED -> Kind.FAILED;
            case LEFT -> Kind.LEFT;
        };
        sink.changed(new Change(kind, name(member.id), member.number, why(member) + " before=" + was.word()));
    }

    /** Removes the members that failed or left longer ago than the retention period. */
    void forget(long now) {
        if (gone.isEmpty()) {
            return;
        }
        List<Member> over = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state.isGone() && now - member.since >= settings.forgetNanos()) {
                over.add(member);
            }
        }
        for (Member member : over) {
            members.remove(member.id);
            gone.remove(member);
            forgotten.put(member.id, new Tombstone(member.life, member.sequence));
            full = false;
            sink.changed(new Change(
                    Kind.FORGOTTEN, name(member.id), member.number, why(member) + " before=" + member.state.word()));
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
