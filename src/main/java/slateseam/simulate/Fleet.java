package slateseam.simulate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import org.json.JSONObject;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.RouterConfig;
import slateseam.standin.ApplicationServer;
import slateseam.standin.Archive;
import slateseam.standin.Clockwork;
import slateseam.standin.Copies;
import slateseam.standin.DiscoveryAgent;
import slateseam.standin.DiscoveryFigures;
import slateseam.standin.Listing;
import slateseam.standin.Origin;
import slateseam.standin.Receipts;
import slateseam.standin.Shared;
import slateseam.standin.Spoil;
import slateseam.standin.Tally;
import slateseam.standin.World;
import slateseam.standin.useragent.ClassFigures;
import slateseam.standin.useragent.Popularity;

/**
 * The application servers, the origin and discovery's agents of a day, and what discovery hears of them; on whatever network
 * their world is.
 */
public final class Fleet {
    private static final long MILLI = 1_000_000L;
    private static final long SPOILT_BEHIND_NANOS = 1 * MILLI;

    /** A place for an application server; a replacement takes the address of what was there. */
    private static final class Member {
        final Day.Server place;
        ApplicationServer model;
        Listing listing;
        int replacement;

        Member(Day.Server place) {
            this.place = place;
        }
    }

    private final Clockwork net;
    private final Day day;
    private final World world;
    private final Consumer<ApplicationServer> whenStarts;
    private final BinaryOperator<String> dials;
    private final Shared shared;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Origin origin;
    private final Map<String, DiscoveryAgent> agents = new LinkedHashMap<>();
    private final List<Double> slowness = new ArrayList<>();

    /**
     * Creates them, not yet up.
     *
     * @param whenStarts is told each server that starts cold
     * @param dials where a router, named first, reaches a server that listens at the address named second
     */
    public Fleet(Day day, World world, Consumer<ApplicationServer> whenStarts, BinaryOperator<String> dials) {
        this.net = world.clock();
        this.day = day;
        this.world = world;
        this.whenStarts = whenStarts;
        this.dials = dials;
        Archive archive = new Archive(day.values(), day.streams().number("archive"));
        long window = day.classes().stream()
                .mapToLong(ClassFigures::windowNanos)
                .max()
                .orElse(0);
        shared = new Shared(archive, new Copies(archive), new Receipts(net, window));
        origin = new Origin(
                Day.Origin.NAME,
                day.origin().listen(),
                day.origin().figures(),
                world,
                day.streams().of("origin"),
                shared);
        List<Listing> begin = new ArrayList<>();
        for (Day.Server place : day.servers()) {
            Member member = new Member(place);
            members.put(place.name(), member);
            put(member, 0);
            begin.add(member.listing);
        }
        begin.add(new Listing(
                Day.Origin.NAME,
                day.origin().listen(),
                site(day.origin().site()),
                "origin",
                0,
                Listing.Health.READY,
                1,
                0));
        for (Day.Router router : day.routers()) {
            agents.put(
                    router.name(),
                    new DiscoveryAgent(
                            router.discovery(false),
                            new DiscoveryFigures(router.agentSpreadNanos(), 1_500 * MILLI, false),
                            world,
                            day.streams().of(router.agentName()),
                            begin.stream()
                                    .map(listing -> seenBy(router.name(), listing))
                                    .toList()));
        }
    }

    private Listing seenBy(String router, Listing listing) {
        return listing.at(dials.apply(router, listing.dial()));
    }

    /** Servers that have run for long hold what they were asked for most. */
    public void prefill(RouterConfig configs, long begin) {
        Map<String, ApplicationServer> byHost = new LinkedHashMap<>();
        Map<String, Integer> room = new LinkedHashMap<>();
        for (Day.Server place : day.servers()) {
            ApplicationServer server = server(place.name());
            byHost.put(server.name(), server);
            room.put(server.name(), (int)
                    (place.filled() * place.figures().keeping().entries()));
        }
        Day.Router first = day.routers().get(0);
        try {
            NodeConfig config = NodeConfig.parse(configs.text(first, 0, false, list(first.name())));
            int keys = room.values().stream().mapToInt(entries -> entries).sum();
            new Homes(config, begin).find(new Popularity(day.popularity()).hottest(keys, 0), (key, host) -> {
                if (room.merge(host, -1, Integer::sum) >= 0) {
                    byHost.get(host).prefill(key);
                }
            });
        } catch (InvalidConfigException e) {
            throw new IllegalStateException("the simulation wrote a configuration that cannot be used", e);
        }
    }

    /** Brings all up, warm. */
    public void start() {
        origin.start();
        members.values().forEach(member -> member.model.start(false));
    }

    private String site(int number) {
        return day.network().sites().get(number);
    }

    private void put(Member member, int replacement) {
        Day.Server place = member.place;
        String host = day.host(place, replacement);
        member.replacement = replacement;
        member.model = new ApplicationServer(
                host,
                place.listen(),
                place.figures(),
                day.work(),
                world,
                day.streams().of(place.name() + " " + replacement),
                shared);
        member.listing = new Listing(
                host,
                place.listen(),
                site(place.site()),
                place.kind(),
                place.block(),
                Listing.Health.READY,
                place.told(),
                0);
    }

    /** What the servers together and the origin counted. */
    public Map<String, Long> tallies() {
        Map<String, Long> all = new TreeMap<>();
        for (Tally tally : Tally.values()) {
            all.put("origin " + tally, origin.tallies().of(tally));
            all.put(
                    "servers " + tally,
                    members.values().stream()
                            .mapToLong(m -> m.model.tallies().of(tally))
                            .sum());
        }
        all.values().removeIf(count -> count == 0);
        return all;
    }

    /** The origin. */
    public Origin origin() {
        return origin;
    }

    /** What all servers keep. */
    public Copies copies() {
        return shared.copies();
    }

    /** What stands at a server's place now. */
    public ApplicationServer server(String name) {
        return members.get(name).model;
    }

    List<ApplicationServer> servers() {
        return members.values().stream().map(member -> member.model).toList();
    }

    /** The agent beside a router. */
    public DiscoveryAgent agent(String router) {
        return agents.get(router);
    }

    /** The list that a router's agent tells now. */
    public JSONObject list(String router) {
        return new JSONObject(agents.get(router).whole());
    }

    /** Discovery hands changes on at a distance; what it hears of between comes with the next. */
    private void tell(Listing listing, long delayNanos) {
        long period = Math.max(1, day.discovery().periodNanos());
        long phase = Math.floorMod(day.streams().number("discovery phase"), period);
        long due = net.now() + delayNanos;
        long handedOn = due + Math.floorMod(phase - due, period);
        agents.forEach((router, agent) -> agent.change(seenBy(router, listing), handedOn - net.now()));
    }

    /** A server's process dies. */
    public void crash(String name) {
        Member member = members.get(name);
        member.model.stop();
        member.listing = member.listing.with(Listing.Health.GONE);
        tell(member.listing, day.discovery().endNanos());
    }

    /** It starts again, cold and under its id. */
    public void startAgain(String name) {
        Member member = members.get(name);
        if (!member.model.isUp()) {
            begin(member);
        }
    }

    private void begin(Member member) {
        member.model.start(true);
        whenStarts.accept(member.model);
        member.listing = member.listing.with(Listing.Health.READY).born(net.now() / MILLI);
        tell(member.listing, day.discovery().startNanos());
    }

    /** It wants nothing new. */
    public void drain(String name) {
        Member member = members.get(name);
        member.model.drain();
        member.listing = member.listing.with(Listing.Health.DRAINING);
        tell(member.listing, 0);
    }

    /** A new one, with a new id, takes its address. */
    public void replace(String name) {
        Member member = members.get(name);
        if (!member.model.isUp()) {
            put(member, member.replacement + 1);
            begin(member);
        }
    }

    /** Nothing was heard of it for so long, or it is heard again. */
    public void silent(String name, boolean on) {
        Member member = members.get(name);
        if (member == null || !member.model.isUp()) {
            return;
        }
        if (on) {
            Listing silent = member.listing;
            net.at(net.now() + day.discovery().silenceNanos(), () -> {
                if (member.listing == silent && silenced.contains(name)) {
                    member.listing = silent.with(Listing.Health.GONE);
                    tell(member.listing, 0);
                }
            });
            silenced.add(name);
        } else {
            silenced.remove(name);
            if (member.listing.health() == Listing.Health.GONE) {
                member.listing = member.listing.with(Listing.Health.READY);
                tell(member.listing, day.discovery().startNanos());
            }
        }
    }

    private final java.util.Set<String> silenced = new java.util.HashSet<>();

    /** The origin takes so many times as long; several such spells multiply. */
    public void slowOrigin(double factor, boolean on) {
        if (on) {
            slowness.add(factor);
        } else {
            slowness.remove(factor);
        }
        origin.slow(slowness.stream().reduce(1.0, (a, b) -> a * b));
    }

    /** A server spoils this part of its answers; 0 ends it. */
    public void spoil(String name, double share) {
        Spoil.Kind[] kinds = Spoil.Kind.values();
        Spoil.Kind kind = kinds[(int) (day.streams().share("spoil " + name) * kinds.length)];
        members.get(name)
                .model
                .spoil(
                        share == 0
                                ? null
                                : new Spoil(
                                        kind,
                                        share,
                                        day.streams().share("spoil behind " + name) < 0.5 ? 0 : SPOILT_BEHIND_NANOS));
    }
}
