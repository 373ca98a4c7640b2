package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateseam.simulate.scenario.Day.Discovery;
import slateseam.simulate.scenario.Day.Network;
import slateseam.simulate.scenario.Day.Origin;
import slateseam.simulate.scenario.Day.Router;
import slateseam.simulate.scenario.Day.RouterRules;
import slateseam.simulate.scenario.Day.Server;
import slateseam.standin.OriginFigures;
import slateseam.standin.ServerFigures;
import slateseam.standin.ValueFigures;
import slateseam.standin.WorkFigures;
import slateseam.standin.useragent.ClassFigures;
import slateseam.standin.useragent.Habits;
import slateseam.standin.useragent.PopularityFigures;
import slateseam.standin.useragent.RateFigures;
import slateseam.standin.useragent.RudeKind;
import slateseam.standin.useragent.TenantFigures;
import slateseam.standin.useragent.UserAgentFigures;

/** Draws a day. Machines that are left out are drawn like the others, and then dropped, so that nothing shifts. */
final class DayDraw {
    private static final int ROUTERS_NET = 1;
    private static final int AGENTS_NET = 2;
    private static final int ORIGIN_NET = 3;
    private static final int USERS_NET = 4;
    private static final int SERVERS_NET = 16;
    private static final int HOSTS = 250;
    private static final int CELL = 6;

    private final Scenario scenario;
    private final Streams streams;
    private final List<String> sites;
    private final Set<String> without;

    DayDraw(Scenario scenario, Streams streams) {
        this.scenario = scenario;
        this.streams = streams;
        this.sites = ((Value.Names) scenario.one("sites").value("names")).names();
        this.without = scenario.without();
    }

    /** The actor that draws a section's common figures. */
    static String actor(Section section) {
        return (section.type() + " " + section.name()).strip();
    }

    Day day(FaultChoice faults) {
        Drawn day = drawn("day");
        long millis = Math.round(day.figure("duration") / Unit.MILLIS.scale());
        long duration = millis * (long) Unit.MILLIS.scale();
        List<Router> routers = routers();
        List<Server> servers = servers();
        List<UserAgentFigures> userAgents = userAgents(routers);
        FaultDraw faultDraw = new FaultDraw(scenario, streams, duration);
        Timeline timeline = faultDraw.timeline(
                faults,
                routers.stream().map(Router::name).toList(),
                servers.stream().map(Server::name).toList(),
                userAgents);
        RouterRules rules = rules();
        return new Day(
                scenario,
                streams,
                duration,
                network(),
                present(routers),
                rules,
                servers.stream()
                        .filter(server -> !without.contains(server.name()))
                        .toList(),
                origin(),
                discovery(),
                work(),
                values(),
                classes(),
                tenants(),
                userAgents.stream().filter(this::isThere).toList(),
                habits(),
                rate(timeline),
                popularity(),
                rude(),
                timeline);
    }

    /** Routers are numbered among those that are there. */
    private List<Router> present(List<Router> all) {
        List<Router> there = new ArrayList<>();
        for (Router r : all) {
            if (!without.contains(r.name())) {
                there.add(new Router(
                        r.name(),
                        there.size(),
                        r.address(),
                        r.site(),
                        r.agent(),
                        r.startNanos(),
                        r.agentSpreadNanos()));
            }
        }
        return there;
    }

    private boolean isThere(UserAgentFigures userAgent) {
        return !without.contains(userAgent.name())
                && (userAgent.router() == null
                        || without.stream()
                                .noneMatch(out -> out.startsWith("router-")
                                        && userAgent.router().equals(address(ROUTERS_NET, number(out) - 1) + ":6379")));
    }

    private static int number(String machine) {
        return Integer.parseInt(machine.substring(machine.lastIndexOf('-') + 1));
    }

    private Drawn drawn(String type) {
        return drawn(scenario.one(type));
    }

    private Drawn drawn(Section section) {
        return new Drawn(section, streams, actor(section));
    }

    private static String address(int net, int number) {
        return "10." + net + "." + number / HOSTS + "." + (number % HOSTS + 1);
    }

    private Network network() {
        Drawn at = drawn("sites");
        long[][] ways = new long[sites.size()][sites.size()];
        for (int i = 0; i < ways.length; i++) {
            for (int j = 0; j <= i; j++) {
                ways[i][j] = at.as("way " + sites.get(j) + " " + sites.get(i)).nanos(i == j ? "within" : "between");
                ways[j][i] = ways[i][j];
            }
        }
        Drawn network = drawn("network");
        Value.Range delay = network.range("datagram-delay");
        return new Network(
                sites,
                ways,
                at.nanos("to-router"),
                at.figure("jitter"),
                network.figure("split"),
                (int) network.figure("window"),
                network.count("backlog"),
                Math.round(delay.least()),
                Math.round(delay.most()),
                network.figure("datagrams-lost"),
                network.figure("datagrams-doubled"));
    }

    private List<Router> routers() {
        Drawn common = drawn("routers");
        Drawn discovery = drawn("discovery");
        List<Router> routers = new ArrayList<>();
        int number = common.count("number");
        for (int i = 0; i < number; i++) {
            String name = "router-" + (i + 1);
            routers.add(new Router(
                    name,
                    i,
                    address(ROUTERS_NET, i),
                    i % sites.size(),
                    address(AGENTS_NET, i),
                    common.as(name).nanos("start"),
                    discovery.as(name).nanos("spread")));
        }
        return routers;
    }

    private RouterRules rules() {
        Drawn r = drawn("routers");
        return new RouterRules(
                r.count("descriptors"),
                (long) r.figure("memory"),
                r.count("held"),
                r.nanos("tick"),
                r.count("tries"),
                r.yes("second-copies"),
                r.yes("cancel"),
                r.yes("probes"),
                r.yes("messages"),
                r.word("tier"),
                r.word("supply-links").equals("on"),
                r.yes("come-back"),
                r.nanos("longest-come-back"),
                r.nanos("connect-within"),
                r.count("commands"),
                r.nanos("idle"),
                r.word("discovery").equals("ask"),
                r.nanos("drain-grace"),
                r.figure("cold-from"),
                r.nanos("cold"),
                r.figure("overload"),
                r.nanos("overload-for"),
                r.nanos("answer-slack"),
                r.figure("over-share-worth"));
    }

    private List<Server> servers() {
        RouterRules rules = rules();
        List<Server> servers = new ArrayList<>();
        int net = SERVERS_NET;
        for (Section section : scenario.all("servers")) {
            Drawn kind = drawn(section);
            int number = kind.count("number");
            for (int i = 0; i < number; i++) {
                String name = section.name() + "-" + (i + 1);
                int site = (i + net) % sites.size();
                Drawn own = kind.as(name);
                ServerFigures figures = figures(kind, own, rules);
                double told = Math.round(figures.capacity() * own.figure("told-size") * 100) / 100.0;
                servers.add(new Server(
                        name,
                        section.name(),
                        address(net, i),
                        site,
                        1 + site + sites.size() * (i / sites.size() / CELL),
                        told,
                        own.figure("filled"),
                        figures));
            }
            net++;
        }
        return servers;
    }

    /** What differs between machines of a kind is speed and warming; the rest is the same for all of them on a day. */
    private static ServerFigures figures(Drawn kind, Drawn own, RouterRules rules) {
        int cores = kind.count("cores");
        double fallMultiple = kind.yes("falls") ? rules.overload() : ServerFigures.Cold.NEVER_FALLS;
        return new ServerFigures(
                cores,
                own.figure("speed"),
                kind.has("slots") ? kind.count("slots") : cores,
                kind.count("room"),
                new ServerFigures.Crowding(kind.figure("crowded-from"), kind.figure("crowded")),
                new ServerFigures.Cold(own.figure("cold-from"), own.nanos("cold"), fallMultiple, rules.overloadNanos()),
                new ServerFigures.Connections(
                        kind.count("connections"),
                        switch (kind.word("beyond")) {
                            case "reset" -> ServerFigures.Beyond.RESET;
                            case "busy" -> ServerFigures.Beyond.BUSY;
                            default -> ServerFigures.Beyond.REFUSED;
                        },
                        kind.seconds("connection-work"),
                        kind.nanos("connection-delay"),
                        rules.idleNanos(),
                        rules.commands(),
                        kind.figure("full-tax")),
                new ServerFigures.Keeping(
                        (long) kind.figure("memory"),
                        kind.count("entries"),
                        kind.nanos("life"),
                        kind.yes("tells-pending"),
                        kind.nanos("fetch"),
                        kind.figure("miss-work")),
                new ServerFigures.Probing(rules.probes(), kind.seconds("probe-work"), false),
                kind.word("cancelled").equals("stops"),
                true,
                false,
                kind.figure("errors"));
    }

    private Origin origin() {
        Drawn o = drawn("origin");
        int site = (int) (streams.share("origin site") * sites.size());
        return new Origin(
                address(ORIGIN_NET, 0),
                site,
                new OriginFigures(
                        o.count("places"),
                        o.seconds("time"),
                        o.figure("sigma"),
                        o.figure("writes"),
                        o.count("queue"),
                        o.nanos("queue-for"),
                        o.figure("crowded"),
                        o.word("unwaited").equals("goes-on"),
                        o.count("connections"),
                        rules().idleNanos(),
                        o.figure("errors"),
                        o.word("body").equals("chunks"),
                        o.count("interim"),
                        o.yes("reports")));
    }

    private Discovery discovery() {
        Drawn d = drawn("discovery");
        return new Discovery(
                d.nanos("notice-end"), d.nanos("notice-silence"), d.nanos("notice-start"), d.nanos("period"));
    }

    private WorkFigures work() {
        return new WorkFigures(scenario.all("class").stream()
                .map(section -> {
                    Drawn c = drawn(section);
                    return new WorkFigures.OfClass(
                            section.name(), c.seconds("work"), c.figure("work-spread"), c.figure("work-noise"));
                })
                .toList());
    }

    private ValueFigures values() {
        Drawn v = drawn("values");
        return new ValueFigures((int) v.figure("median"), v.figure("sigma"), (int) v.figure("largest"));
    }

    private List<ClassFigures> classes() {
        return scenario.all("class").stream()
                .map(section -> {
                    Drawn c = drawn(section);
                    ClassFigures.Effect effect = switch (c.word("effect")) {
                        case "repeatable" -> ClassFigures.Effect.REPEATABLE;
                        case "keyed" -> ClassFigures.Effect.KEYED;
                        default -> ClassFigures.Effect.ONCE;
                    };
                    boolean write = c.has("command")
                            ? c.word("command").equals("set")
                            : effect != ClassFigures.Effect.REPEATABLE;
                    return new ClassFigures(
                            section.name(),
                            c.figure("share"),
                            write,
                            effect,
                            c.word("group"),
                            c.has("window") ? c.nanos("window") : 0,
                            c.nanos("aim"),
                            c.nanos("deadline"),
                            c.figure("worth"),
                            c.figure("late-worth"));
                })
                .toList();
    }

    private List<TenantFigures> tenants() {
        return scenario.all("tenant").stream()
                .map(section -> {
                    Drawn t = drawn(section);
                    double share = t.figure("share");
                    return new TenantFigures(section.name(), share, share * t.figure("use"), t.figure("limit"));
                })
                .toList();
    }

    private List<UserAgentFigures> userAgents(List<Router> routers) {
        Drawn common = drawn("user-agents");
        int each = common.count("beside-each");
        boolean beside = common.word("entry").equals("beside");
        Map<String, Double> parts = new LinkedHashMap<>();
        for (int i = 0; i < routers.size() * each; i++) {
            String name = "user-" + (i + 1);
            parts.put(name, StrictMath.exp(common.figure("uneven") * gaussian(name)));
        }
        double all = parts.values().stream().mapToDouble(part -> part).sum();
        double rate = common.figure("rate");
        List<UserAgentFigures> userAgents = new ArrayList<>();
        parts.forEach((name, part) -> {
            int number = userAgents.size();
            userAgents.add(new UserAgentFigures(
                    name,
                    address(USERS_NET, number),
                    beside ? routers.get(number / each).listen() : null,
                    rate * part / all,
                    common.as(name).happens("heeding")));
        });
        return userAgents;
    }

    /** A number of the normal distribution for a name. */
    private double gaussian(String name) {
        return StrictMath.sqrt(-2 * StrictMath.log(1 - streams.share(name + " radius")))
                * StrictMath.cos(2 * Math.PI * streams.share(name + " angle"));
    }

    private Habits habits() {
        Drawn u = drawn("user-agents");
        return new Habits(
                switch (u.word("connections")) {
                    case "once" -> Habits.Connections.ONCE;
                    case "left-open" -> Habits.Connections.LEFT_OPEN;
                    default -> Habits.Connections.REUSED;
                },
                u.count("most-connections"),
                u.figure("patience"),
                u.word("given-up").equals("wait"),
                u.nanos("grace"),
                u.count("retries"),
                u.word("retry").equals("at-once"),
                u.nanos("wait"),
                rules().longestComeBackNanos(),
                u.yes("marks"),
                u.figure("leaving"),
                u.nanos("notice"));
    }

    private RateFigures rate(Timeline timeline) {
        Drawn u = drawn("user-agents");
        return new RateFigures(
                u.figure("swing"),
                u.nanos("swing-every"),
                streams.share("swing phase"),
                timeline.of(FaultKind.SURGE).stream()
                        .map(fault -> new RateFigures.Surge(fault.at(), fault.until(), fault.size()))
                        .toList());
    }

    private PopularityFigures popularity() {
        Drawn u = drawn("user-agents");
        return new PopularityFigures(
                u.count("keys"), u.figure("exponent"), u.figure("offset"), u.figure("drift"), streams.number("keys"));
    }

    private Map<RudeKind, Integer> rude() {
        Drawn rude = drawn("rude");
        Map<RudeKind, Integer> numbers = new EnumMap<>(RudeKind.class);
        for (RudeKind kind : RudeKind.values()) {
            numbers.put(kind, rude.count(kind.word()));
        }
        return numbers;
    }
}
