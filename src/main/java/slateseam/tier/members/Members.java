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
 * One router's view of the tier. It is told the time and datagrams, and tells its {@link MembersPort} what to send and what has changed. Not
 * thread-safe. The same settings, source of chance and calls give the same actions.
 */
public final class Members {
    /** More life than a day ahead of this router's clock is absurd, as is one who answered so many suspicions. */
    private static final long MOST_AHEAD_MILLIS = 86_400_000L;

    static final int MOST_INCARNATIONS = 1 << 30;
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    /** After a new life was heard messages of the old one are late for so long, and later a second process's. */
    private static final long LATE_NANOS = 3 * SECOND;

    private static final int TWICE_MESSAGES = 5;
    static final long TWICE_AGAIN_NANOS = 60 * SECOND;
    private static final int COMPARE_PERIODS = 5;
    private static final int INTRODUCE_PERIODS = 10;
    /** Messages in a row whose digest differs until parts are compared. */
    private static final int DIFFERS = 3;

    private static final int MOST_WHO_A_PERIOD = 5;
    private static final int BESIDE = 2;
    private static final int FRESH = 2;

    private final MembersSettings settings;
    private final RandomGenerator random;
    private final MembersPort sink;
    private final long self;
    private final int tier;
    private final Roster roster;
    private final Watch watch;
    private final LocalHealth doubt;
    private final Map<Traffic, Long> traffic = new EnumMap<>(Traffic.class);
    private final SelfState own;
    private final Parts parts;
    private boolean left;
    private long now;
    private long nextPeriod;
    private long periods;
    private int whoLeft;
    private int probed;
    /** To whom it has introduced itself last, whether or not they were heard since. */
    private final Set<InetSocketAddress> introducedTo = new LinkedHashSet<>();
    /** Whose digest was another for long. */
    private final Set<Long> differing = new LinkedHashSet<>();

    private LocalHealthIssue told = LocalHealthIssue.NONE;

    /**
     * Begins a life.
     *
     * @param now in Unix time; its milliseconds are the life's number
     */
    public Members(MembersSettings settings, long now, RandomGenerator random, MembersPort sink) {
        this.settings = settings;
        this.random = random;
        this.sink = sink;
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
                sink.changed(change);
            }
        });
        parts = new Parts(self, roster, random);
        watch = new Watch(
                settings,
                self,
                roster,
                (to, verdict) -> send(to.place, Message.Kind.HEARTBEAT, false, accused(to, verdict), true));
        doubt = new LocalHealth(settings, self, roster, watch, now);
        own = new SelfState(settings, self, now, roster, doubt, sink);
    }

    private void count(Traffic what, long more) {
        traffic.merge(what, more, Long::sum);
    }

    /** Time goes on; to be called every 50 ms or so. */
    public void tick(long nanos) {
        now = nanos;
        if (left) {
            return;
        }
        doubt.tick(now);
        if (now >= nextPeriod) {
            nextPeriod = Math.max(now, nextPeriod + settings.periodNanos());
            period();
        }
        boolean doubted = doubt.isThere();
        LocalHealthIssue is = doubt.look(now);
        if (doubted && is == LocalHealthIssue.NONE) {
            watch.listenAnew(now);
        }
        watch.look(now, is != LocalHealthIssue.NONE);
        watch.judge(now, is != LocalHealthIssue.NONE);
        is = doubt.look(now);
        if (is != told) {
            sink.changed(new Change(
                    Kind.DOUBT, settings.name(), settings.number(), "doubt=" + is.word() + " before=" + told.word()));
            told = is;
        }
    }

    private void period() {
        periods++;
        whoLeft = MOST_WHO_A_PERIOD;
        Set<Long> to = ownWatchers();
        if (doubt.now() == LocalHealthIssue.UNHEARD || doubt.now() == LocalHealthIssue.MINORITY) {
            for (int i = 0; i < BESIDE; i++) {
                Member other = any();
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
            compare(any());
            roster.forget(now);
        }
        if (!differing.isEmpty()) {
            long one = differing.iterator().next();
            differing.remove(one);
            compare(roster.find(one));
        }
    }

    /** Who watches this router, in the rings' order. */
    private Set<Long> ownWatchers() {
        Set<Long> watchers = new LinkedHashSet<>();
        for (long id : roster.rings.watchers(self)) {
            watchers.add(id);
        }
        return watchers;
    }

    private Member any() {
        int others = roster.present() - 1;
        int left = others == 0 ? 0 : random.nextInt(others);
        for (Member member : roster.all()) {
            if (!member.state.isGone() && left-- == 0) {
                return member;
            }
        }
        return null;
    }

    /** Whoever is a suspect here is told so with each message, as others lose or overtake one another and it has little time to answer. */
    private List<Record> accused(Member to, Record... records) {
        List<Record> all = new ArrayList<>(List.of(records));
        if (to.state == State.SUSPECT) {
            all.add(roster.record(to));
        }
        return all;
    }

    private void heartbeat(Member to) {
        boolean unknown = to.heardAt == 0 || periods % INTRODUCE_PERIODS == 0;
        send(to.place, Message.Kind.HEARTBEAT, unknown, accused(to), true);
        if (settings.toldPlaces() && to.toldPlace != null && !to.toldPlace.equals(to.place) && watch.isLate(to, now)) {
            // Guards against two that moved, each of whom looks for the other where an old list has it.
            send(to.toldPlace, Message.Kind.HEARTBEAT, true, List.of(), false);
        }
    }

    /** Looks for those that may be there and are not in the view: in the list, or gone. */
    private void probe(int most) {
        Map<InetSocketAddress, List<Record>> places = new LinkedHashMap<>();
        for (int i = 0; i < settings.peers().size(); i++) {
            if (i != settings.number()) {
                places.put(settings.peers().get(i), List.of());
            }
        }
        for (Member member : roster.all()) {
            if (member.state.isGone()) {
                places.put(member.place, List.of(roster.record(member))); // so that it knows
                if (member.number >= 0
                        && member.number < settings.peers().size()
                        && member.number != settings.number()) {
                    places.put(settings.peers().get(member.number), List.of(roster.record(member)));
                }
            }
        }
        for (Member member : roster.all()) {
            if (!member.state.isGone()) {
                places.remove(member.place);
            }
        }
        List<InetSocketAddress> all = new ArrayList<>(places.keySet());
        for (int i = 0; i < Math.min(most, all.size()); i++) {
            InetSocketAddress to = all.get(Math.floorMod(probed++, all.size()));
            remember(to);
            send(to, Message.Kind.HEARTBEAT, true, places.get(to), true);
        }
    }

    private void remember(InetSocketAddress to) {
        introducedTo.remove(to);
        introducedTo.add(to);
        if (introducedTo.size() > settings.watchers() + BESIDE) {
            introducedTo.remove(introducedTo.iterator().next());
        }
    }

    private void compare(Member with) {
        if (with != null) {
            send(with.place, Message.Kind.COMPARE, false, parts.digests(), false, true);
        }
    }

    private Introduction introduction() {
        return new Introduction(self, own.life(), own.incarnation(), settings.number(), null, settings.name());
    }

    private void send(InetSocketAddress to, Message.Kind kind, boolean introduces, List<Record> records, boolean news) {
        send(to, kind, introduces, records, news, false);
    }

    private void send(
            InetSocketAddress to,
            Message.Kind kind,
            boolean introduces,
            List<Record> records,
            boolean news,
            boolean asks) {
        if (to == null) {
            return;
        }
        List<Record> all = new ArrayList<>();
        if (introduces) {
            all.add(introduction());
        }
        all.addAll(records);
        if (news) {
            int room = Message.MOST_BYTES
                    - Message.HEADER_BYTES
                    - all.stream().mapToInt(Record::bytes).sum();
            all.addAll(roster.news.take(room, roster.present()));
        }
        byte[] bytes = new Message(
                        kind,
                        doubt.isThere(),
                        asks,
                        tier,
                        self,
                        own.life(),
                        own.incarnation(),
                        own.next(),
                        roster.digest(),
                        (int) Math.round(Member.MOST_SILENT * doubt.silentPart()),
                        all)
                .encode();
        count(Traffic.SENT, 1);
        count(Traffic.SENT_BYTES, bytes.length);
        sink.send(to, bytes);
    }

    /** The first byte of all its datagrams, by which they are told from the ring's. */
    public static byte firstByte() {
        return Message.MAGIC;
    }

    /** A datagram came. */
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
        if (isAbsurd(message.life(), message.incarnation())) {
            count(Traffic.DROPPED_ABSURD, 1);
            return;
        }
        if (message.sender() == self) {
            own.spokenBy(message.life(), now);
            return;
        }
        Member sender = sender(message, from);
        if (sender != null && isNews(sender, message, from)) {
            count(Traffic.TAKEN, 1);
            take(sender, message, from);
        }
    }

    private boolean isAbsurd(long aLife, int anIncarnation) {
        return aLife <= 0
                || aLife > now / MILLI + MOST_AHEAD_MILLIS
                || anIncarnation < 0
                || anIncarnation > MOST_INCARNATIONS;
    }

    /** Who sent it; null for strangers. */
    private Member sender(Message message, InetSocketAddress from) {
        Member known = roster.find(message.sender());
        for (Record record : message.records()) {
            if (record instanceof Introduction said && said.id() == message.sender()) {
                if (message.kind() == Message.Kind.LEAVE && known == null) {
                    return null;
                }
                return roster.introduced(
                        new Introduction(
                                said.id(), message.life(), message.incarnation(), said.number(), null, said.name()),
                        said.id(),
                        true,
                        from,
                        now);
            }
        }
        if (known == null) {
            count(Traffic.DROPPED_STRANGER, 1);
            if (whoLeft-- > 0) {
                send(from, Message.Kind.WHO, true, List.of(), false);
            }
        }
        return known;
    }

    /** Whether it is not late or doubled, and of the life that is known or a later one. */
    private boolean isNews(Member sender, Message message, InetSocketAddress from) {
        if (message.life() < sender.life) {
            count(Traffic.DROPPED_LATE, 1);
            second(sender, message, from);
            return false;
        }
        if (message.life() == sender.life && message.sequence() - sender.sequence <= 0) {
            count(Traffic.DROPPED_LATE, 1);
            return false;
        }
        return true;
    }

    /** Messages of an earlier life that go on: a second process by that name, which is told of the first. */
    private void second(Member sender, Message message, InetSocketAddress from) {
        if (message.life() != sender.otherLife) {
            sender.otherLife = message.life();
            sender.otherSequence = message.sequence();
            sender.others = 0;
        } else if (message.sequence() - sender.otherSequence > 0) {
            sender.otherSequence = message.sequence();
            sender.others++;
        }
        send(
                from,
                Message.Kind.HEARTBEAT,
                true,
                List.of(new Claim(sender.id, sender.life, sender.incarnation, sender.state, self)),
                false);
        if (now - sender.since > LATE_NANOS
                && sender.others >= TWICE_MESSAGES
                && (sender.twiceAt == 0 || now - sender.twiceAt > TWICE_AGAIN_NANOS)) {
            sender.twiceAt = now;
            sink.changed(new Change(
                    Kind.TWICE,
                    roster.name(sender.id),
                    sender.number,
                    "life=" + sender.life + " place=" + sender.place + " other_life=" + sender.otherLife
                            + " other_place=" + from));
        }
    }

    private void take(Member sender, Message message, InetSocketAddress from) {
        if (message.life() > sender.life) {
            roster.take(sender, message.life(), message.incarnation(), State.ALIVE, sender.id, now);
        }
        if (message.kind() == Message.Kind.LEAVE) {
            sender.sequence = message.sequence();
            message.records().forEach(record -> take(sender, record));
            return;
        }
        boolean soon = now - sender.heardAt <= sender.patience(settings.periodNanos()) && sender.heardAt != 0;
        sender.sequence = message.sequence();
        sender.place = from;
        sender.hear(now, settings.periodNanos(), !doubt.isThere());
        sender.silent = message.silent();
        doubt.heard(sender);
        if (message.incarnation() > sender.incarnation) {
            roster.take(sender, message.life(), message.incarnation(), State.ALIVE, sender.id, now);
        } else if (sender.state == State.SUSPECT) {
            answerFor(sender, sender.incarnation);
        } else if (sender.state == State.FAILED) {
            // One message may be late; one that lives goes on.
            sender.afresh = soon ? sender.afresh + 1 : 1;
            if (sender.afresh >= FRESH) {
                answerFor(sender, sender.incarnation);
            }
        }
        for (Record record : message.records()) {
            take(sender, record);
        }
        if (message.kind() == Message.Kind.WHO) {
            if (whoLeft-- > 0) {
                send(from, Message.Kind.HEARTBEAT, true, List.of(), false);
            }
        } else if (message.kind() == Message.Kind.COMPARE) {
            answerCompared(sender, message);
        }
        boolean alike = message.digest() == roster.digest();
        if (alike) {
            doubt.unheard(false); // it sees what is seen here, this router's incarnation among it
        }
        sender.differs = alike ? 0 : sender.differs + 1;
        if (sender.differs >= DIFFERS) {
            sender.differs = 0;
            differing.add(sender.id);
        }
    }

    /** Somebody says something of this router. */
    private void about(long life, int incarnation, State state) {
        if (own.told(life, incarnation, state, now)) {
            // At once: who is a suspect has little time.
            count(Traffic.REFUTATIONS, 1);
            nextPeriod = now;
            roster.news.add(self, introduction());
        }
    }

    /** It is heard here, whatever others say: that overrides what they said. */
    private void answerFor(Member member, int above) {
        if (above < MOST_INCARNATIONS) {
            count(Traffic.REFUTATIONS, 1);
            roster.take(member, member.life, above + 1, State.ALIVE, self, now);
        }
    }

    private void take(Member sender, Record record) {
        if (record instanceof Introduction said) {
            if (said.id() == self) {
                about(said.life(), said.incarnation(), State.ALIVE);
            } else if (said.id() != sender.id && !isAbsurd(said.life(), said.incarnation())) {
                Member member = roster.introduced(said, sender.id, false, null, now);
                if (member != null) {
                    member.toldPlace = said.place() == null ? member.toldPlace : said.place();
                    roster.take(member, said.life(), said.incarnation(), State.ALIVE, sender.id, now);
                }
            }
        } else if (record instanceof Claim claim && isAbsurd(claim.life(), claim.incarnation())) {
            count(Traffic.DROPPED_ABSURD, 1);
        } else if (record instanceof Claim claim && claim.id() == self) {
            about(claim.life(), claim.incarnation(), claim.state());
        } else if (record instanceof Claim claim) {
            claimed(sender, claim);
        } else if (record instanceof Verdict verdict && verdict.id() == self) {
            if (verdict.ear() != Message.Ear.HEARS && whoLeft-- > 0) {
                send(sender.place, Message.Kind.HEARTBEAT, true, List.of(), true);
            }
        } else if (record instanceof Verdict verdict) {
            watch.said(sender, verdict, now);
        }
    }

    private void claimed(Member sender, Claim claim) {
        Member member = roster.find(claim.id());
        if (member == null || !member.isOlderThan(claim.life(), claim.incarnation(), claim.state())) {
            return;
        }
        // A suspicion is taken, and its next message here answers it: what came before may have been its last.
        if (claim.state() == State.FAILED && claim.life() == member.life && watch.heardNow(member, now)) {
            answerFor(member, claim.incarnation());
        } else {
            roster.take(
                    member,
                    claim.life(),
                    claim.incarnation(),
                    claim.state(),
                    claim.by() == self ? sender.id : claim.by(),
                    now);
        }
    }

    private void answerCompared(Member sender, Message message) {
        for (List<Record> answer : parts.answers(message, introduction())) {
            send(sender.place, Message.Kind.HEARTBEAT, false, answer, false);
        }
        if (message.asks() && parts.differ(message)) {
            send(sender.place, Message.Kind.COMPARE, false, parts.digests(), false);
        }
    }

    /** This router ends: says so to those who watch it, and nothing more. */
    public void leave(long nanos) {
        now = nanos;
        if (!left) {
            Claim claim = new Claim(self, own.life(), own.incarnation(), State.LEFT, self);
            for (InetSocketAddress place : placesToldOfAnEnd()) {
                send(place, Message.Kind.LEAVE, false, List.of(claim), false);
                send(place, Message.Kind.LEAVE, false, List.of(claim), false);
            }
            left = true;
        }
    }

    /**
     * Its watchers, some others, and those to whom it has introduced itself. Guards against one that ends before it has
     * heard anybody: the others have heard it, and would take it for failed.
     */
    private Set<InetSocketAddress> placesToldOfAnEnd() {
        Set<Long> members = ownWatchers();
        Set<InetSocketAddress> places = new LinkedHashSet<>();
        for (Member member : roster.all()) {
            if (members.contains(member.id)
                    || member.state == State.ALIVE
                            && members.size() < settings.watchers() + BESIDE
                            && members.add(member.id)) {
                places.add(member.place);
            }
        }
        places.addAll(introducedTo);
        return places;
    }

    /** Why this router does not trust its view; none if it does. */
    public LocalHealthIssue doubt() {
        return doubt.now();
    }

    /** The life that it is in, in Unix milliseconds. */
    public long life() {
        return own.life();
    }

    /** Whether another process goes by its name. */
    public boolean isTwice() {
        return own.isTwice();
    }

    /** What was counted since the start. */
    public long count(Traffic what) {
        return traffic.getOrDefault(what, 0L);
    }

    /** All others, by name; those that have gone until they are forgotten. */
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
                            member.place,
                            member.state,
                            reach,
                            member.life,
                            member.incarnation,
                            member.since,
                            roster.name(member.by),
                            member.heardAt));
        }
        return List.copyOf(views.values());
    }

    /** The numbers of those that are there, this router among them; the same object until that changes. */
    public Set<Integer> numbers() {
        return roster.numbers();
    }

    /** A digest of who is there; the same at all routers that see the same. */
    public int digest() {
        return roster.digest();
    }

    /** How many are there, this router among them. */
    public int present() {
        return roster.present();
    }

    /** Whether it watches a member and hears nothing of it now. */
    public boolean isSilent(String name) {
        Member member = roster.find(Ids.of(name));
        return member != null && watch.subjects().contains(member) && watch.isSilent(member, now);
    }
}
