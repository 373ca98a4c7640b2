package slateseam.simulate;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.apache.commons.rng.simple.RandomSource;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.decision.Api.*;
import slateseam.router.config.NodeConfig;
import slateseam.router.connections.servers.Bounds;
import slateseam.router.core.Core;
import slateseam.router.farm.Farm;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.pass.Passes;
import slateseam.router.peer.Peers;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Front;
import slateseam.router.request.Request;
import slateseam.router.request.Version;
import slateseam.router.request.Versions;
import slateseam.simulate.RulesModel.Answered;
import slateseam.simulate.RulesModel.Attempt;
import slateseam.simulate.RulesModel.Effect;
import slateseam.simulate.RulesModel.Taken;
import slateseam.simulate.RulesModel.Went;
import slateseam.simulate.network.Conditions;
import slateseam.simulate.network.Program;
import slateseam.simulate.network.VirtualNetwork;
import slateseam.simulate.network.VirtualProvider;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/**
 * Plays one history of a seed: several routers' core, module and passes with their ring, on the virtual network, beside the
 * {@link RulesModel}, which is asked after every step. What comes is drawn, the odd things among it.
 */
final class RulesStage {
    private static final long MS = 1_000_000L;
    private static final long START = 1_800_000_000_000_000_000L;
    private static final long WAY = MS / 2;
    private static final long SLACK = 20 * MS;
    private static final int CACHES = 6;
    private static final int STEPS = 700;
    /** Of which so many may want nothing new at a time. */
    private static final int MOST_AWAY = 2;
    /** Some 400 requests a second come; a warm server does a fair part of them, whoever is away. */
    private static final double PER_SECOND = 100;

    private static final List<String> CLASSES = List.of("read", "note", "checkout");

    /** A router: its core and what carries its actions out. */
    private final class Node implements Front {
        final int me;
        final VirtualProvider process;
        final Loop loop;
        final Farm farm = new Farm(List.of("a"), List.of("box", "origin"), 1);
        final Versions versions;
        final Core core;
        final Passes passes;
        final Map<String, Long> tickets = new LinkedHashMap<>();
        final List<String> ids = new ArrayList<>();
        boolean emptied;

        Node(int me, JSONObject known) throws Exception {
            this.me = me;
            process = net.provider(ip(me));
            loop = new Loop(process, net::now, new Log("n" + me, net::now, line -> log(line)), 64L << 20);
            versions = new Versions(settings(me));
            core = new Core(loop, versions, random.nextLong(), 300);
            passes = new Passes(loop, farm, core, 100 * MS, new Bounds(200, 60_000 * MS, 1, false), () -> {});
            Peers peers = new Peers(loop, NodeConfig.address(ip(me) + ":7946"), peers(), null, core::happened);
            core.start(passes, peers, () -> {});
            take(known);
            process.drive(new Program() {
                @Override
                public boolean round() throws java.io.IOException {
                    loop.round(0);
                    return true;
                }

                @Override
                public long nextDeadline() {
                    return loop.nextDeadline();
                }
            });
        }

        @Override
        public boolean isPresent(long exchange) {
            return true;
        }

        void take(JSONObject list) throws Exception {
            JSONArray hosts = list.getJSONArray("hosts");
            List<String> listed = new ArrayList<>();
            for (int i = 0; i < hosts.length(); i++) {
                String host = hosts.getJSONObject(i).getString("host");
                listed.add(host);
                model.tells(me, host, hosts.getJSONObject(i).getString("health").equals("ready"), net.now());
            }
            if (list.getBoolean("whole")) {
                health.keySet().stream()
                        .filter(host -> !listed.contains(host))
                        .forEach(host -> model.tells(me, host, false, net.now()));
            }
            MembersChanged changed = farm.take(list, false);
            passes.farmChanged();
            core.happened(changed);
        }

        void asks() {
            Version version = versions.current();
            int type = random.nextInt(10) < 8
                    ? 0
                    : random.nextInt(version.settings().classes().size());
            RequestClass of = version.type(type);
            long ttl = random.nextInt(8) == 0 ? (1 + random.nextInt(60)) * MS : (200 + random.nextInt(1200)) * MS;
            ttl = Math.min(ttl, of.deadlineNanos());
            String id = "r" + me + "-" + ++asked;
            boolean write = type > 0;
            model.takes(new Taken(
                    me,
                    id,
                    effect(of),
                    net.now(),
                    ttl,
                    of.windowNanos(),
                    version.settings().limits().attempts(),
                    version.settings().limits().retryAfter()));
            ids.add(id);
            String key = "k" + (random.nextInt(3) == 0 ? random.nextInt(4) : random.nextInt(400));
            long ticket = core.arrived(
                    new Request(
                            bytes(key),
                            bytes(id),
                            bytes("c=" + of.name() + ",t=a,d=" + ttl / MS),
                            write ? bytes("x") : null,
                            version,
                            type,
                            random.nextInt(3),
                            false,
                            ttl,
                            false),
                    this,
                    ids.size() - 1);
            tickets.put(id, ticket);
            if (random.nextInt(40) == 0) {
                leaves(id); // at once, while a connection may still be coming up for it
            }
        }

        private void leaves(String id) {
            model.leaves(id, net.now());
            core.withdrawn(tickets.get(id), Ending.LEFT, () -> {});
        }

        @Override
        public Answer answer(long exchange, Answer answer) {
            boolean served = answer instanceof Answer.Served;
            String value = served ? new String(((Answer.Served) answer).value(), StandardCharsets.US_ASCII) : null;
            long again = answer instanceof Answer.Unavailable unavailable ? unavailable.retryAfterNanos() : 0;
            model.answers(
                    ids.get((int) exchange),
                    served
                            ? Answered.SERVED
                            : answer instanceof Answer.Unavailable ? Answered.UNAVAILABLE : Answered.FAILED,
                    value,
                    again,
                    net.now());
            return answer;
        }

        /** A user agent leaves, or an outcome comes once more, late, or for a ticket that nobody has. */
        void oddity() {
            if (ids.isEmpty()) {
                return;
            }
            String id = ids.get(Math.max(0, ids.size() - 1 - random.nextInt(12)));
            long ticket = tickets.getOrDefault(id, -1L);
            if (random.nextInt(3) == 0) {
                leaves(id);
                return;
            }
            Outcome[] odd = {Outcome.TIMEOUT, Outcome.RESET, Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED};
            Outcome outcome = odd[random.nextInt(odd.length)];
            int attempts = model.attempts(id);
            if (attempts > 1) {
                core.passEnded(
                        ticket, attempts - 2, Farm.id(model.server(id, attempts - 2)), outcome, false, null, 5 * MS);
            }
            core.passEnded(
                    random.nextLong() | 1L << 62, 0, Farm.id("c" + random.nextInt(CACHES)), outcome, false, null, MS);
        }
    }

    /** One connection at a server, which takes one request at a time and does with it as is drawn. */
    private final class Served implements Party {
        private final String name;
        private final StringBuilder got = new StringBuilder();
        private Attempt attempt;
        private boolean over;

        Served(String name) {
            this.name = name;
        }

        @Override
        public void received(Wire wire, byte[] bytes) {
            got.append(new String(bytes, StandardCharsets.ISO_8859_1));
            String id = name.equals("o") ? http() : resp(wire);
            if (id != null && !over) {
                begin(wire, id);
            }
        }

        private void begin(Wire wire, String id) {
            attempt = model.comes(id, name, net.now());
            Attempt mine = attempt;
            int kind = random.nextInt(100);
            long after = (kind < 6 ? 300 + random.nextInt(900) : 1 + random.nextInt(30)) * MS;
            net.at(net.now() + after, () -> {
                if (over || mine.went != Went.OUT) {
                    return;
                }
                mine.knownAt = net.now() + WAY;
                if (kind < 5) {
                    mine.went = Went.MAY_HAVE_RUN;
                    mine.open = false;
                    over = true;
                    wire.reset();
                } else if (kind >= 7 || name.equals("o")) {
                    answer(wire, mine, id, kind);
                } // else it stays silent
            });
        }

        private void answer(Wire wire, Attempt mine, String id, int kind) {
            boolean origin = name.equals("o");
            mine.went = kind < 12
                    ? Went.MAY_HAVE_RUN
                    : kind < 18 ? Went.TURNED_AWAY : kind < 45 && !origin ? Went.MISSED : Went.SERVED;
            mine.open = false;
            String value = RulesModel.value(id);
            String text = switch (mine.went) {
                case SERVED ->
                    origin
                            ? "HTTP/1.1 200 OK\r\nContent-Length: " + value.length() + "\r\n\r\n" + value
                            : "*1\r\n$" + value.length() + "\r\n" + value + "\r\n";
                case MISSED -> "*1\r\n$-1\r\n";
                case TURNED_AWAY ->
                    origin ? "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n" : "-BUSY\r\n";
                default ->
                    origin
                            ? "HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n"
                            : kind < 9 ? "&noise\r\n" : "-ERR failed\r\n";
            };
            wire.write(bytes(text));
        }

        private String http() {
            int end = got.indexOf("\r\n\r\n");
            if (end < 0) {
                return null;
            }
            String head = got.substring(0, end);
            int body = head.contains("Content-Length: 1") ? 1 : 0;
            if (got.length() < end + 4 + body) {
                return null;
            }
            got.delete(0, end + 4 + body);
            int at = head.indexOf("X-Correlation-Id: ") + 18;
            return head.substring(at, head.indexOf("\r\n", at));
        }

        private String resp(Wire wire) {
            String[] lines = got.toString().split("\r\n", -1);
            int items = lines.length > 1 ? Integer.parseInt(lines[0].substring(1)) : 0;
            if (items == 0 || lines.length < 2 * items + 2) {
                return null;
            }
            got.setLength(0);
            if (items == 1) {
                wire.write(bytes("+PONG\r\n")); // a fence
                return null;
            }
            return lines[6];
        }

        @Override
        public void ended(Wire wire) {
            gone();
            wire.end();
        }

        @Override
        public void broken(Wire wire) {
            gone();
        }

        private void gone() {
            over = true;
            if (attempt != null && attempt.open) {
                attempt.open = false;
                attempt.went = Went.MAY_HAVE_RUN;
                attempt.knownAt = net.now();
            }
        }
    }

    private final Random random;
    private final VirtualNetwork net;
    private final RulesModel model =
            new RulesModel(500 * MS, SLACK, WAY, 60 * MS, 0.33, 7_800 * MS, 2_000 * MS, PER_SECOND);
    private final List<Node> nodes = new ArrayList<>();
    /** What discovery knows of each server. */
    private final Map<String, String> health = new LinkedHashMap<>();

    private final Map<String, Long> born = new LinkedHashMap<>();
    private final int routers;
    private final double overload;
    private int attemptsNow = 3;
    private int window = 4_000;
    private int asked;
    private int version = 1;
    private String fault;

    private RulesStage(long seed) throws Exception {
        random = new Random(seed);
        Conditions calm = Conditions.calm();
        Conditions.Datagrams datagrams = new Conditions.Datagrams(3 * MS, 37 * MS, 0.05, 0.1, 0.1);
        net = new VirtualNetwork(
                calm.with(new Conditions.Delays(WAY, WAY, WAY, WAY, WAY, 0)).with(datagrams),
                actor -> RandomSource.XO_RO_SHI_RO_128_PP.create(seed << 32 ^ actor.hashCode()),
                START);
        routers = 1 + random.nextInt(4);
        overload = random.nextInt(3) == 0 ? 1.2 : 3;
        model.overload(overload);
        for (int i = 0; i < routers; i++) {
            net.machine(ip(i), "home");
        }
        for (int i = 0; i <= CACHES; i++) {
            String name = i < CACHES ? "c" + i : "o";
            net.machine("10.0.3." + i, "home");
            net.listen(dial(name), wire -> new Served(name));
            health.put(name, "ready");
        }
        for (int i = 0; i < routers; i++) {
            nodes.add(new Node(i, whole()));
        }
    }

    /** Plays the histories of some seeds; returns the first rule that is broken, or null. */
    static String play(long first, long last) throws Exception {
        for (long seed = first; seed <= last; seed++) {
            RulesStage stage = new RulesStage(seed);
            String broken = stage.play();
            if (broken != null) {
                return broken + " (history " + seed + ", " + (stage.net.now() - START) / MS + " ms)";
            }
        }
        return null;
    }

    private String play() throws Exception {
        for (int step = 0; step < STEPS + 300; step++) {
            Node node = nodes.get(random.nextInt(routers));
            if (step < STEPS) {
                for (int i = random.nextInt(6); i > 0; i--) {
                    (random.nextInt(4) == 0 ? nodes.get(0) : node).asks();
                }
                happen(node);
            }
            if (random.nextInt(5) > 0) {
                net.run(net.now() + random.nextInt(16) * MS); // else the clock stands still
            }
            model.step(net.now());
            if (model.breach() != null || fault != null) {
                return model.breach() != null ? model.breach() : fault;
            }
        }
        return null;
    }

    private void happen(Node node) throws Exception {
        switch (random.nextInt(40)) {
            case 0, 1, 2, 3 -> node.oddity();
            case 4 -> change();
            case 5 -> {
                node.emptied = !node.emptied && random.nextBoolean();
                node.take(node.emptied ? list(true, List.of()) : whole());
            }
            case 6 -> {
                if (random.nextInt(4) == 0) {
                    attemptsNow = 1 + random.nextInt(4);
                    window = random.nextBoolean() ? 4_000 : 200;
                    node.core.retune(settings(node.me));
                }
            }
            case 7 -> {
                if (random.nextInt(4) == 0) {
                    node.process.kill();
                    model.dies(node.me, net.now());
                    net.run(net.now() + 50 * MS);
                    nodes.set(node.me, new Node(node.me, whole()));
                }
            }
            case 8 -> net.loseDatagrams(random.nextInt(3) == 0 ? 0.9 : 0.05);
            default -> {}
        }
    }

    /** A server drains, goes, or starts anew; all routers are told, or most. */
    private void change() throws Exception {
        String name = "c" + random.nextInt(CACHES);
        String now = switch (random.nextInt(4)) {
            case 0 -> "draining";
            case 1 -> "gone";
            default -> "ready";
        };
        long away =
                health.values().stream().filter(state -> !state.equals("ready")).count();
        if (!now.equals("ready") && health.get(name).equals("ready") && away >= MOST_AWAY) {
            return;
        }
        if (now.equals("ready") && !health.get(name).equals("ready")) {
            born.put(name, net.now() / MS);
            model.starts(name, net.now());
        }
        health.put(name, now);
        version++;
        for (Node node : nodes) {
            if (random.nextInt(5) > 0) {
                node.take(node.emptied ? whole() : list(false, List.of(name)));
                node.emptied = false; // or it would take one server for all there is
            }
        }
    }

    private JSONObject whole() {
        return list(
                true,
                health.keySet().stream()
                        .filter(name -> !health.get(name).equals("gone"))
                        .toList());
    }

    private JSONObject list(boolean whole, List<String> names) {
        JSONArray hosts = new JSONArray();
        for (String name : names) {
            hosts.put(new JSONObject()
                    .put("host", name)
                    .put("dial", dial(name))
                    .put("site", "a")
                    .put("class", name.equals("o") ? "origin" : "box")
                    .put("health", health.get(name))
                    .put("born_ms", born.getOrDefault(name, 0L)));
        }
        return new JSONObject().put("seq", version).put("whole", whole).put("hosts", hosts);
    }

    private Settings settings(int me) {
        List<RequestClass> classes = List.of(
                new RequestClass(
                        CLASSES.get(0),
                        500 * MS,
                        1_500 * MS,
                        2,
                        0,
                        slateseam.decision.Api.Effect.PURE,
                        Group.ALL,
                        0,
                        false),
                new RequestClass(
                        CLASSES.get(1),
                        1_200 * MS,
                        4_000 * MS,
                        3,
                        0,
                        slateseam.decision.Api.Effect.TOKEN,
                        Group.ALL,
                        window * MS,
                        false),
                new RequestClass(
                        CLASSES.get(2),
                        1_500 * MS,
                        4_000 * MS,
                        3,
                        0,
                        slateseam.decision.Api.Effect.SIDE_EFFECT,
                        Group.ALL,
                        0,
                        false));
        return new Settings(
                me,
                routers,
                0,
                5 * MS,
                false,
                CacheMode.ASIDE,
                1,
                0.1,
                classes,
                List.of(new Tenant("a", 40, 0.5), new Tenant("b", 200, 0.5)),
                new Limits(attemptsNow, false, true, true, routers > 1, true, 2_000 * MS, 100 * MS, 1),
                new Rules(500 * MS, 10_000 * MS, 0.33, 7_800 * MS, overload, 2_000 * MS, SLACK));
    }

    private static Effect effect(RequestClass of) {
        return switch (of.effect()) {
            case PURE -> Effect.REPEATABLE;
            case TOKEN -> Effect.KEYED;
            case SIDE_EFFECT -> Effect.ONCE;
        };
    }

    private List<java.net.InetSocketAddress> peers() {
        List<java.net.InetSocketAddress> all = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            all.add(NodeConfig.address(ip(i) + ":7946"));
        }
        return all;
    }

    private void log(String line) {
        if (line.contains("internal-error") || line.contains("overdue")) {
            fault = "LOGGED " + line;
        }
    }

    private static String ip(int router) {
        return "10.0.0." + (1 + router);
    }

    private static String dial(String name) {
        return "10.0.3." + (name.equals("o") ? CACHES : Integer.parseInt(name.substring(1))) + ":6379";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
