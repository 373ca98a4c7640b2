package slateseam.simulate;

import java.nio.file.Path;
import java.util.List;
import slateseam.simulate.scenario.InvalidScenarioException;
import slateseam.simulate.scenario.Scenario;
import slateseam.simulate.scenario.Scenarios;
import slateseam.simulate.scenario.Unit;
import slateseam.simulate.scenario.Value;

/**
 * A fault of the router, planted from outside: a copy of some of its sources with a few words changed.
 *
 * @param name what the changed router does
 * @param faults the faults by which it shows soonest, as on the command line; null for those of the usual scenario
 * @param scenario null for the usual one
 * @param changes what is changed
 */
record PlantedBug(String name, String faults, Scenario scenario, List<Change> changes) {
    private static final String ROUTER = "router/";
    private static final String BRAIN = "decision/Brain";
    private static final String JOB = "decision/Job";
    private static final String UPSTREAM_SERVER = "decision/UpstreamServer";
    private static final String POOL = ROUTER + "connections/servers/Pool";
    /** Or the look before each further attempt would find what the other change hides. */
    private static final Change NO_LOOK_BEFORE_AN_ATTEMPT =
            change(ROUTER + "core/Core", "!slot.front.isPresent(slot.exchange)", "false");
    /** With the usual figures the routers' windows alone keep a cold server from falling over. */
    private static final Scenario TIGHT = Scenarios.usual()
            .with("user-agents", "", "rate", new Value.Range(340, 360, Unit.A_SECOND))
            .with("routers", "", "overload", new Value.Range(1.2, 1.2, Unit.FACTOR))
            .with("servers", "big", "miss-work", new Value.Range(100, 100, Unit.PERCENT))
            .with("servers", "small", "miss-work", new Value.Range(100, 100, Unit.PERCENT));

    /** A scenario of the tests. */
    static Scenario scenario(String name) {
        try {
            return Scenarios.read(Path.of("src/test/resources/scenarios", name + ".scenario"));
        } catch (InvalidScenarioException e) {
            throw new IllegalStateException(e);
        }
    }

    /** In a source file, a text that stands there once and what stands there instead. */
    record Change(String file, String text, String instead) {}

    static List<PlantedBug> all() {
        return List.of(
                new PlantedBug(
                        "sends to a draining server",
                        "drain",
                        null,
                        List.of(
                                change(ROUTER + "pass/Passes", "|| !farm.entry(serverId).isReady()", ""),
                                change(ROUTER + "pass/Passes", "server.pool(), entry.isReady()", "server.pool(), true"),
                                change(
                                        ROUTER + "pass/Passes",
                                        "created.pool(), entry.isReady()",
                                        "created.pool(), true"),
                                change(
                                        UPSTREAM_SERVER,
                                        "boolean isReady() { return member.isReady(); }",
                                        "boolean isReady() { return !member.isGone(); }"))),
                new PlantedBug(
                        "sends a once-write again that may have run",
                        null,
                        null,
                        List.of(change(
                                JOB,
                                "return repeatsAreHarmless() && (",
                                "return type.effect() == Effect.SIDE_EFFECT || repeatsAreHarmless() && ("))),
                new PlantedBug(
                        "answers -BUSY after one that may have run",
                        null,
                        null,
                        List.of(change(
                                BRAIN,
                                "!(job.mayHaveRun || job.attemptInProgress) || job.repeatsAreHarmless()",
                                "true"))),
                new PlantedBug(
                        "writes a pass that was given up while it waited for its connection",
                        null,
                        null,
                        List.of(change(POOL, "waiting.remove(use);\n            use.state = Use.State.OVER;", ""))),
                new PlantedBug(
                        "gives a late answer to the next request on the connection",
                        null,
                        null,
                        List.of(
                                change(
                                        POOL,
                                        "use.state = Use.State.GIVEN_UP;\n            use.last = last;",
                                        "use.link.uses.remove(use);\n            use.link.freeSince = now;\n"
                                                + "            use.state = Use.State.OVER;\n            if (true) return;"),
                                change(
                                        ROUTER + "pass/ServerConnection",
                                        "        awaited.add(pass);",
                                        "        awaited.removeIf(Pass::isGivenUp);\n        awaited.add(pass);"))),
                new PlantedBug(
                        "does not raise a slot's generation",
                        null,
                        null,
                        List.of(change(
                                ROUTER + "net/Slots", "generations[slot] + 1 & GENERATION_MASK", "generations[slot]"))),
                new PlantedBug(
                        "ignores a cold server's budget",
                        "crash,replace",
                        TIGHT,
                        List.of(change("decision/SlowStart", "double warmth = warmth(server);", "double warmth = 1;"))),
                new PlantedBug(
                        "begins with a full bucket for a cold server",
                        null,
                        scenario("cold-servers"),
                        List.of(change(
                                "decision/ColdBucket", ": windowTokens + initialFraction;", ": Double.MAX_VALUE;"))),
                new PlantedBug(
                        "writes a keyed write's repeat behind its window",
                        null,
                        scenario("keyed-window"),
                        List.of(change(
                                "decision/Job",
                                "return bound ? arrivedAt + type.windowNanos() : Send.ANY_TIME;",
                                "return Send.ANY_TIME;"))),
                new PlantedBug(
                        "lets requests go on whose user agent has gone",
                        null,
                        null,
                        List.of(
                                change(
                                        ROUTER + "useragent/Requests",
                                        "core.withdrawn(asked.request, why, () -> openIds.remove(asked.id));",
                                        ""),
                                NO_LOOK_BEFORE_AN_ATTEMPT)),
                new PlantedBug(
                        "gives up only when the time of a request is over",
                        "origin-slow,void",
                        null,
                        List.of(
                                change(BRAIN, "Math.min(last, type.aimNanos())", "event.ttlNanos() + margin / 4"),
                                change(BRAIN, "type.lateShare() > 0 ? last", "type.lateShare() < 0 ? last"))),
                new PlantedBug(
                        "turns all away after new settings",
                        "reload",
                        null,
                        List.of(change(
                                ROUTER + "Router",
                                "used = changed;",
                                "used = changed;\n        core.setServingCheck(() -> false);"))),
                new PlantedBug(
                        "closes at once in a planned end",
                        "restart",
                        null,
                        List.of(change(ROUTER + "Router", "loop.after(LINGER_NANOS, this::close)", "stop()"))),
                new PlantedBug(
                        "tries beyond the limit",
                        null,
                        null,
                        List.of(
                                change(
                                        ROUTER + "core/Core",
                                        "remainingNanos <= 0 || attempt >= slot.request.version().settings().limits().attempts()",
                                        "remainingNanos <= 0"),
                                change(JOB, "return attempts + times <= maxAttempts;", "return true;"))),
                new PlantedBug(
                        "loses its place where a message is split",
                        null,
                        null,
                        List.of(change(
                                ROUTER + "net/Resp",
                                "            in.position(start);\n        }\n        return value;",
                                "        }\n        return value;"))),
                new PlantedBug(
                        "hears a drain and drops it",
                        "drain",
                        null,
                        List.of(change(
                                ROUTER + "farm/Farm",
                                "entry(hosts.getJSONObject(i));\n                if (entry.member.state()"
                                        + " == MemberState.GONE) {",
                                "entry(hosts.getJSONObject(i));\n"
                                        + "if (entry.member.state() == MemberState.DRAINING) {\n    continue;\n"
                                        + "} else if (entry.member.state() == MemberState.GONE) {"))),
                new PlantedBug(
                        "never answers a request that failed",
                        null,
                        null,
                        List.of(change(
                                ROUTER + "core/Core",
                                "slot.front.answer(slot.exchange, answer);",
                                "if (!(answer instanceof Answer.Failed)) slot.front.answer(slot.exchange, answer);"))),
                new PlantedBug(
                        "answers pipelined commands out of order",
                        "rude",
                        null,
                        List.of(change(
                                ROUTER + "useragent/UserAgent",
                                "while (delivery == null && !inOrder.isEmpty() && inOrder.peek().answer() != null && !isClosed()) {",
                                "for (Exchange done; delivery == null && !isClosed() && (done = inOrder.stream()"
                                        + ".filter(e -> e.answer() != null).findFirst().orElse(null)) != null;) {\n"
                                        + "            inOrder.remove(done);\n            inOrder.addFirst(done);"))),
                new PlantedBug(
                        "asks discovery once and never again",
                        "drain,crash,replace",
                        null,
                        List.of(
                                change(
                                        ROUTER + "farm/Watch",
                                        "if (reply.keepsAlive()) {\n                ask();",
                                        "if (reply.keepsAlive()) {"),
                                change(
                                        ROUTER + "farm/Watch",
                                        "next = loop.after(millis * Clock.MILLI, this::tooLate);",
                                        ""))),
                new PlantedBug(
                        "does not see an end behind commands that wait",
                        null,
                        null,
                        List.of(
                                change(
                                        ROUTER + "useragent/UserAgent",
                                        "MAX_READ_AHEAD_BYTES = MESSAGE_LIMIT",
                                        "MAX_READ_AHEAD_BYTES = 0"),
                                NO_LOOK_BEFORE_AN_ATTEMPT)),
                new PlantedBug(
                        "tells the origin the user agent's whole wait",
                        null,
                        null,
                        List.of(change(
                                ROUTER + "pass/HttpOrigin",
                                "text(Facts.withTimeLeft(request.facts(), waitMillis))",
                                "text(request.facts())"))),
                new PlantedBug(
                        "sends datagrams that are too long",
                        null,
                        null,
                        List.of(
                                change(
                                        "decision/SupplyMessage",
                                        "ACCOUNT_BYTES * accounts) / KEY_BYTES;",
                                        "ACCOUNT_BYTES * accounts) / KEY_BYTES + 1;"),
                                change(ROUTER + "peer/Peers", "MOST_BYTES = 256", "MOST_BYTES = 512"))));
    }

    static Change change(String file, String text, String instead) {
        return new Change("src/main/java/slateseam/" + file + ".java", text, instead);
    }
}
