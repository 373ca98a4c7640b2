package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateseam.simulate.scenario.Unit.Measure;
import slateseam.standin.useragent.RudeKind;

/** Which sections a scenario file may have, and which names each of them. */
final class Schema {
    /** How often a section stands in a file. */
    enum Often {
        /** Exactly once, without a name. */
        ONCE,
        /** At most once, without a name. */
        PERHAPS,
        /** At least once, each with a name of its own. */
        NAMED,
        /** At most once for each kind of fault. */
        FAULTS
    }

    /**
     * A type of section.
     *
     * @param type the heading's first word
     * @param often how often it stands in a file
     * @param most how many there may be
     * @param names what it may set, in the order of the operators' page
     * @param meaning one line for the operators' page
     */
    record Type(String type, Often often, int most, List<Name> names, String meaning) {
        Name find(String word) {
            return names.stream()
                    .filter(name -> name.word().equals(word))
                    .findFirst()
                    .orElse(null);
        }

        List<String> words() {
            return names.stream().map(Name::word).toList();
        }
    }

    static final String SCRIPT = "script";
    static final String REQUESTS = "requests";
    static final String FAULT = "fault";
    private static final List<String> YES_NO = List.of("yes", "no");
    private static final Map<String, Type> TYPES = types();
    private static final Map<FaultKind, Type> FAULTS = faults();

    private Schema() {}

    /** The type of a heading's first word; null if there is none. For faults, that without a kind. */
    static Type find(String type) {
        return TYPES.get(type);
    }

    /** The type of {@code [fault KIND]}. */
    static Type of(FaultKind kind) {
        return FAULTS.get(kind);
    }

    /** The type of a section that was read. */
    static Type of(Section section) {
        return section.type().equals(FAULT) ? of(FaultKind.find(section.name())) : find(section.type());
    }

    /** All types, in the order of the operators' page. */
    static List<Type> all() {
        return List.copyOf(TYPES.values());
    }

    /** The heading's first words, those of sections that hold no figures too. */
    static List<String> words() {
        List<String> words = new ArrayList<>(TYPES.keySet());
        words.add(SCRIPT);
        words.add(REQUESTS);
        return words;
    }

    private static Map<String, Type> types() {
        Map<String, Type> types = new LinkedHashMap<>();
        for (Type type : List.of(
                new Type(
                        "day",
                        Often.ONCE,
                        1,
                        List.of(
                                Name.time("duration", 0.1, 604_800, null, "for how long requests are asked"),
                                Name.fixed(
                                        "seed", 0, 1L << 53, "", "the seed that is played whatever seed is asked for"),
                                Name.names("without", "", "machines that are left out")),
                        "the day"),
                new Type(
                        "sites",
                        Often.ONCE,
                        1,
                        List.of(
                                Name.names("names", null, "the sites' names, 1 to 16"),
                                Name.time(
                                        "between", 0, 5, "10..20 ms", "the way between two sites, drawn for each pair"),
                                Name.time("within", 0, 5, "0.1..0.3 ms", "the way within a site"),
                                Name.time(
                                        "to-router",
                                        0,
                                        5,
                                        "0.04..0.1 ms",
                                        "the way from a user agent beside its router"),
                                Name.share(
                                        "jitter",
                                        0,
                                        100,
                                        "10..25 %",
                                        "by how much a way may take longer, each time anew")),
                        "where machines stand, and one-way delays"),
                new Type(
                        "network",
                        Often.PERHAPS,
                        1,
                        List.of(
                                Name.share("split", 0, 100, "10..30 %", "deliveries that are split at a random byte"),
                                Name.size(
                                        "window",
                                        0.5,
                                        4096,
                                        "32..64 KiB",
                                        "bytes under way before a sender is held up"),
                                Name.count("backlog", 1, 65_536, "128..512", "connections that wait to be accepted"),
                                Name.time("datagram-delay", 0, 5, "3..37 ms", "delay of a datagram, drawn for each"),
                                Name.share("datagrams-lost", 0, 100, "0..2 %", "datagrams that never arrive"),
                                Name.share("datagrams-doubled", 0, 100, "0..1 %", "datagrams that arrive twice")),
                        "streams and datagrams"),
                routers(),
                requestClass(),
                tenant(),
                servers(),
                new Type(
                        "values",
                        Often.PERHAPS,
                        1,
                        List.of(
                                Name.size("median", 1.0 / 1024, 64, "1.5 KiB", "the median size of a key's value"),
                                Name.factor("sigma", 0, 3, "0.2..0.7", "spread of the size's logarithm"),
                                Name.size("largest", 1.0 / 1024, 64, "64 KiB", "no value is larger")),
                        "sizes of values"),
                origin(),
                new Type(
                        "discovery",
                        Often.PERHAPS,
                        1,
                        List.of(
                                Name.time(
                                        "notice-end", 0, 60, "1..4.3 s", "until a process that died is listed as gone"),
                                Name.time(
                                        "notice-silence",
                                        0,
                                        120,
                                        "6..13 s",
                                        "until a silent machine is listed as gone"),
                                Name.time(
                                        "notice-start",
                                        0,
                                        60,
                                        "0.2..2.3 s",
                                        "until a process that started is listed as ready"),
                                Name.time("period", 0, 60, "0.3..1.4 s", "changes are handed on at this distance"),
                                Name.time("spread", 0, 60, "0.05..0.5 s", "each agent has them by so much later")),
                        "when changes of the farm reach the routers"),
                userAgents(),
                new Type(
                        "rude",
                        Often.PERHAPS,
                        1,
                        Arrays.stream(RudeKind.values())
                                .map(kind -> Name.count(
                                        kind.word(), 0, 10_000, Integer.toString(kind.usual()), kind.meaning()))
                                .toList(),
                        "how many rude user agents of each kind come with a fault of that kind"),
                new Type(
                        "faults",
                        Often.PERHAPS,
                        1,
                        List.of(Name.count(
                                "together",
                                0,
                                FaultKind.values().length,
                                "0..3",
                                "how many kinds of fault a seed draws, out of those that have a section")),
                        "how faults are drawn"))) {
            types.put(type.type(), type);
        }
        types.put(FAULT, new Type(FAULT, Often.FAULTS, FaultKind.values().length, List.of(), "a kind of fault"));
        return types;
    }

    private static Type routers() {
        return new Type(
                "routers",
                Often.ONCE,
                1,
                List.of(
                        Name.count("number", 1, 1024, null, "how many there are"),
                        Name.count("descriptors", 64, 65_536, "1024", "descriptors that each may hold"),
                        Name.size("memory", 32 * 1024, 16 * 1024 * 1024, "192 MiB", "memory of each"),
                        Name.count("held", 1, 4096, "4096", "requests that each may hold open"),
                        Name.time("start", 0, 60, "0.3..0.6 s", "from a start until it takes connections"),
                        Name.time("tick", 0, 1, "5 ms", "the setting of that name"),
                        Name.count("tries", 1, 10, "3", "proxy passes of a request"),
                        Name.choice(
                                "second-copies", YES_NO, "no", "whether two passes of a request may be out together"),
                        Name.choice("cancel", YES_NO, "yes", "whether passes may be given up"),
                        Name.choice("probes", YES_NO, "yes", "whether servers may be probed"),
                        Name.choice("messages", YES_NO, "yes", "whether routers may send each other datagrams"),
                        Name.choice(
                                "tier",
                                List.of("off", "keep", "rest"),
                                "off",
                                "whether they know their tier in common, and what those in the smaller part of a cut do with their supply"),
                        Name.choice(
                                "supply-links",
                                List.of("off", "on"),
                                "off",
                                "whether they exchange supply beyond their ring neighbours"),
                        Name.choice(
                                "come-back", YES_NO, "yes", "whether an unavailable answer may tell when to come back"),
                        Name.time("longest-come-back", 0, 60, "2 s", "the latest such time"),
                        Name.time(
                                "connect-within",
                                0.001,
                                10,
                                "200 ms",
                                "a server's connection that is not up by then has failed"),
                        Name.count("commands", 1, 4096, "100", "requests at once on a server's connection"),
                        Name.time("idle", 0.1, 3600, "60 s", "servers close connections that are idle for so long"),
                        Name.choice("discovery", List.of("push", "ask"), "push", "how the list comes"),
                        Name.time("drain-grace", 0, 60, "500 ms", "until nothing new goes to a server that drains"),
                        Name.share("cold-from", 1, 100, "33 %", "capacity that a server has at least when it starts"),
                        Name.time("cold", 0, 600, "7.8 s", "by then it has all of it"),
                        Name.factor("overload", 1, 100, "3", "so many times its capacity pushes a cold server over"),
                        Name.time("overload-for", 0.001, 60, "2 s", "sent for so long"),
                        Name.time(
                                "answer-slack",
                                0,
                                5,
                                "20 ms",
                                "by how much a final answer may come behind the deadline"),
                        Name.share("over-share-worth", 0, 100, "10 %", "worth of what a tenant asks beyond its share")),
                "the routers and what their settings tell them");
    }

    private static Type requestClass() {
        return new Type(
                "class",
                Often.NAMED,
                16,
                List.of(
                        Name.share(
                                "share",
                                0,
                                100,
                                null,
                                "part of all requests; parts that do not add up to 100 % are scaled"),
                        Name.choice(
                                "effect",
                                List.of("repeatable", "keyed", "once"),
                                null,
                                "what a second run of one does"),
                        Name.choice(
                                "command",
                                List.of("get", "set"),
                                "",
                                "get for what is repeatable and set for the others, " + "where it is not written"),
                        Name.choice(
                                "group",
                                List.of("all", "zone", "cell"),
                                "all",
                                "for keyed: the servers that drop repeats"),
                        Name.time("window", 0, 600, "", "for keyed, and only there: for how long repeats are dropped"),
                        Name.time("aim", 0.001, 600, null, "an answer by then has its worth"),
                        Name.time("deadline", 0.001, 600, null, "user agents wait no longer, over all tries"),
                        Name.factor("worth", 0, 1000, "1", "worth of one"),
                        Name.share(
                                "late-worth",
                                0,
                                100,
                                "0 %",
                                "part of the worth that an answer behind the aim still has"),
                        Name.time("work", 0, 10, "50 ms", "mean work, on one core of speed 1"),
                        Name.factor("work-spread", 0, 5, "0.9", "standard deviation of the work as a part of the mean"),
                        Name.factor("work-noise", 0, 5, "0.1..0.5", "the same for what one pass adds by chance")),
                "a class of requests");
    }

    private static Type tenant() {
        return new Type(
                "tenant",
                Often.NAMED,
                1024,
                List.of(
                        Name.share("share", 0, 100, null, "its part of the service"),
                        Name.share("use", 0, 1000, "100 %", "how much of its part it asks for"),
                        Name.rate("limit", 0, 1e6, null, "requests a second over all routers within its share")),
                "a tenant");
    }

    private static Type servers() {
        return new Type(
                "servers",
                Often.NAMED,
                16,
                List.of(
                        Name.count("number", 0, 4096, null, "how many there are"),
                        Name.count("cores", 1, 256, null, "cores of each"),
                        Name.factor("speed", 0.01, 100, "1", "speed of a core, drawn for each machine"),
                        Name.count("slots", 1, 4096, "", "requests in work; as many as cores, where it is not written"),
                        Name.count("room", 0, 65_536, "4..8", "requests that wait for a slot"),
                        Name.factor("crowded-from", 0, 1000, "4..9", "so many requests a core cost nothing"),
                        Name.share(
                                "crowded",
                                0,
                                1000,
                                "4..12 %",
                                "each further one a core makes all work take longer by this"),
                        Name.share("cold-from", 1, 100, "33..60 %", "capacity at a cold start"),
                        Name.time("cold", 0, 600, "4..7.8 s", "until it has all of it"),
                        Name.count("connections", 1, 65_536, "70..105", "connections that it takes"),
                        Name.choice(
                                "beyond",
                                List.of("refused", "reset", "busy"),
                                "refused",
                                "what becomes of further ones"),
                        Name.time("connection-work", 0, 10, "13..21 ms", "work of a new connection"),
                        Name.time(
                                "connection-delay",
                                0,
                                10,
                                "1..3 ms",
                                "by how much the first request on one begins later"),
                        Name.share("full-tax", 0, 90, "20..30 %", "capacity that a full table of connections takes"),
                        Name.count("entries", 0, 10_000_000, null, "values that it keeps"),
                        Name.size("memory", 0, 16 * 1024 * 1024, "64 MiB", "bytes of values that it keeps"),
                        Name.time("life", 0, 3600, "0 s", "after which a copy is void; 0 for never"),
                        Name.share("filled", 0, 100, "100 %", "part of the entries that are kept when the day begins"),
                        Name.choice("tells-pending", YES_NO, "yes", "whether it tells that a fetch of the key is out"),
                        Name.time(
                                "fetch",
                                0,
                                60,
                                "0.6 s",
                                "after which a fetch that nobody stored counts as out no more"),
                        Name.share("miss-work", 0, 100, "50 %", "work of a miss as a part of a hit's"),
                        Name.time("probe-work", 0, 1, "0.07..0.14 ms", "work of a probe"),
                        Name.choice(
                                "cancelled",
                                List.of("stops", "goes-on"),
                                "stops | goes-on",
                                "what becomes of work that nobody waits for"),
                        Name.choice(
                                "falls",
                                YES_NO,
                                "yes",
                                "whether one that is cold falls by the work that its requests happen to be"),
                        Name.share("errors", 0, 100, "0..0.1 %", "requests that end in an error"),
                        Name.share(
                                "told-size",
                                1,
                                1000,
                                "80..125 %",
                                "the size that discovery tells, as a part of the true one")),
                "a kind of application server");
    }

    private static Type origin() {
        return new Type(
                "origin",
                Often.ONCE,
                1,
                List.of(
                        Name.count("places", 1, 4096, null, "requests in work at once"),
                        Name.time("time", 0, 60, null, "mean time of a read; places / time is its capacity"),
                        Name.factor("sigma", 0, 3, "0.3..0.9", "spread of that time's logarithm"),
                        Name.factor("writes", 0.1, 100, "1..3", "how much longer a write takes"),
                        Name.count("queue", 0, 65_536, "400", "requests that wait for a place; 503 beyond"),
                        Name.time("queue-for", 0, 600, "0.5..3.2 s", "after so long in the queue a request gets 504"),
                        Name.share(
                                "crowded",
                                0,
                                1000,
                                "5..20 %",
                                "each full set of places that waits makes work longer by this"),
                        Name.choice(
                                "unwaited",
                                List.of("stops", "goes-on"),
                                "stops | goes-on",
                                "what becomes of reads that nobody waits for"),
                        Name.count("connections", 1, 65_536, "400", "connections that it takes"),
                        Name.share("errors", 0, 100, "0..0.1 %", "requests that get 500"),
                        Name.choice("body", List.of("length", "chunks"), "length | chunks", "how values are framed"),
                        Name.count("interim", 0, 16, "0", "interim answers ahead of each final one"),
                        Name.choice("reports", YES_NO, "no", "whether answers carry a load report")),
                "the origin");
    }

    private static Type userAgents() {
        return new Type(
                "user-agents",
                Often.ONCE,
                1,
                List.of(
                        Name.count("beside-each", 1, 64, "1..3", "processes for each router"),
                        Name.rate("rate", 0.01, 1e6, null, "first tries of all together"),
                        Name.factor(
                                "uneven",
                                0,
                                3,
                                "0.6..1.4",
                                "spread of the logarithm of one process's part of the rate"),
                        Name.share("swing", 0, 99, "0..35 %", "by how much the rate goes up and down"),
                        Name.time("swing-every", 0.1, 3600, "3..12 s", "a period of that"),
                        Name.choice(
                                "entry",
                                List.of("beside", "dealt"),
                                "beside",
                                "whether a process keeps to its router, or a front deals connections out over those "
                                        + "that are up"),
                        Name.time("notice", 0, 60, "1..4 s", "until the front takes a router that is silent for down"),
                        Name.choice(
                                "connections",
                                List.of("reused", "once", "left-open"),
                                "reused",
                                "whether a connection is used again, closed after one request, or left open and not "
                                        + "used again"),
                        Name.count(
                                "most-connections",
                                1,
                                65_536,
                                "64..256",
                                "connections that a process has open, at most"),
                        Name.count("keys", 1, 10_000_000, "20000", "keys that are asked for at one time"),
                        Name.factor("exponent", 0, 3, "1..1.2", "how uneven popularity is: the Zipf exponent"),
                        Name.factor("offset", 0, 1000, "2..10", "added to each rank, which flattens the top"),
                        Name.share("drift", 0, 100, "0..1 %", "part of the ranks that goes to a new key each second"),
                        Name.share(
                                "patience",
                                1,
                                100,
                                "38..100 %",
                                "a try is given up after this part of the class's deadline"),
                        Name.choice(
                                "given-up",
                                List.of("close", "wait"),
                                "close | wait",
                                "whether the connection is closed then, or kept open for a late answer"),
                        Name.time("grace", 0, 5, "80..150 ms", "how much later than told a try is given up"),
                        Name.count("retries", 0, 10, "0..2", "retries of a request, at most"),
                        Name.choice("retry", List.of("at-once", "wait"), "at-once | wait", "when a retry is made"),
                        Name.time(
                                "wait",
                                0,
                                60,
                                "20..160 ms",
                                "the wait before a retry, doubled with each and up to half as long again"),
                        Name.share(
                                "heeding",
                                0,
                                100,
                                "65..100 %",
                                "processes that come back when an answer tells, not sooner"),
                        Name.choice("marks", YES_NO, "yes", "whether a retry is marked"),
                        Name.share("leaving", 0, 100, "0..1 %", "requests whose user agent leaves early")),
                "the user agents that behave");
    }

    private static Map<FaultKind, Type> faults() {
        Map<FaultKind, Type> types = new EnumMap<>(FaultKind.class);
        for (FaultKind kind : FaultKind.values()) {
            List<Name> names = new ArrayList<>();
            names.add(Name.count("times", 1, 20, "1", "how often it comes"));
            names.add(Name.share("at", 0, 100, "10..70 %", "when it begins, as a part of the day"));
            if (kind.lasts()) {
                names.add(Name.time("for", 0.001, 3600, null, "how long it lasts"));
            }
            if (kind.targets() != FaultKind.Targets.NONE) {
                names.add(Name.share(
                        "share",
                        0,
                        100,
                        usualShare(kind),
                        "part of those that it may befall, rounded down, one at least"));
            }
            if (kind.size() != null) {
                Measure measure = kind.size();
                double scale = measure == Measure.TIME ? 1e9 : measure == Measure.SHARE ? 0.01 : 1;
                double least = kind.least() / scale;
                double most = kind.most() / scale;
                String meaning = "its size";
                names.add(
                        measure == Measure.TIME
                                ? Name.time("size", least, most, null, meaning)
                                : measure == Measure.SHARE
                                        ? Name.share("size", least, most, null, meaning)
                                        : measure == Measure.SIZE
                                                ? Name.size("size", least, most, null, meaning)
                                                : Name.factor("size", least, most, null, meaning));
            }
            types.put(kind, new Type(FAULT, Often.FAULTS, 1, names, ""));
        }
        return types;
    }

    private static String usualShare(FaultKind kind) {
        return kind == FaultKind.RESTART || kind == FaultKind.RELOAD ? "100 %" : "5..20 %";
    }
}
