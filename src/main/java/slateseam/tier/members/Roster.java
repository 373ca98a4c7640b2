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

/** All members that this router knows of, and what became of them; this one's own entry is not among them. */
final class Roster {
    static final int PARTS = 16;
    private static final int PART_SHIFT = Long.SIZE - 4;
    private static final int MOST_FORGOTTEN = MembersSettings.MOST;

    /** One that was forgotten: what it says of a life that was over is not believed. */
    private record Tombstone(long life, int sequence) {}

    private final MembersSettings settings;
    private final long self;
    private final MembersPort sink;
    private final Map<Long, Member> members = new HashMap<>();
    private final Map<Long, Tombstone> forgotten = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Tombstone> eldest) {
            return size() > MOST_FORGOTTEN;
        }
    };
    /** Those that failed or left and are not forgotten. */
    private final Set<Member> gone = new LinkedHashSet<>();

    private int suspects;
    /** The numbers of those that are there; null if they are to be worked out anew, as at another version of the rings. */
    private Set<Integer> numbers;

    private int numbersVersion;
    final Rings rings;
    final GossipQueue news = new GossipQueue();
    private final int[] digests = new int[PARTS];
    private boolean full;

    Roster(MembersSettings settings, long self, MembersPort sink) {
        this.settings = settings;
        this.self = self;
        this.sink = sink;
        rings = new Rings(settings.watchers());
        rings.add(self);
    }

    Member find(long id) {
        return members.get(id);
    }

    Collection<Member> all() {
        return members.values();
    }

    /** Its name, or its number if it has not said. */
    String name(long id) {
        Member member = members.get(id);
        return id == self
                ? settings.name()
                : member != null && member.name != null ? member.name : Long.toHexString(id);
    }

    static int part(long id) {
        return (int) (id >>> PART_SHIFT);
    }

    /** Of those that are there, in a part. */
    int digest(int part) {
        return digests[part];
    }

    int digest() {
        int all = 0;
        for (int digest : digests) {
            all = 31 * all + digest;
        }
        return all;
    }

    /** Brings one that is there into the digests, or takes it out again. */
    void fold(long id, long life, int incarnation) {
        digests[part(id)] ^= (int) Ids.mix(Ids.mix(id ^ life) + incarnation);
    }

    private void fold(Member member) {
        if (!member.state.isGone()) {
            fold(member.id, member.life, member.incarnation);
        }
    }

    /** Somebody says of himself, or of another, that it is there; null if it is not believed. */
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
            member.sequence = over.sequence; // what was sent before it was forgotten does not bring it back
        }
        members.put(said.id(), member);
        rings.add(said.id());
        fold(member);
        news.add(said.id(), introduction(member));
        sink.changed(new Change(Kind.JOINED, member.name, member.number, why(member) + " before=none"));
        return member;
    }

    Introduction introduction(Member member) {
        return new Introduction(member.id, member.life, member.incarnation, member.number, member.place, member.name);
    }

    /** What tells others of a member as it is now. */
    Record record(Member member) {
        return member.state == State.ALIVE && member.name != null
                ? introduction(member)
                : new Claim(member.id, member.life, member.incarnation, member.state, member.by);
    }

    private String why(Member member) {
        return "life=" + member.life + " incarnation=" + member.incarnation + " by=" + name(member.by);
    }

    /** Takes what is said of a member if it is newer than what is known; whether it was. */
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

    /** Forgets those that have been gone for long. */
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

    /** The numbers of those that are there, this router's own among them. */
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

    /** How many are suspects. */
    int suspects() {
        return suspects;
    }

    /** Those that failed or left and are not forgotten. */
    Collection<Member> gone() {
        return gone;
    }

    /** How many are there, this router among them. */
    int present() {
        return rings.size();
    }

    /** Who watches a member, without those that are suspects themselves and without {@code but}. */
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
