package slateseam.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/** Shows how a host embeds the module, with a single request that is served by a cache server. */
class EmbeddingExampleTest {
    @Test
    void aHostRouterEmbedsTheModule() {
        long ms = 1_000_000L;
        Settings settings = new Settings(
                0,
                1,
                0,
                ms,
                false,
                CacheMode.ASIDE,
                1,
                0.05,
                List.of(new RequestClass("lookup", 500 * ms, 1000 * ms, 1, 0, Effect.PURE, Group.ALL, 0, false)),
                List.of(),
                new Limits(4, false, true, false, false, true, 500 * ms, 100 * ms, 32),
                new Rules(500 * ms, 10_000 * ms, 0.3, 8_000 * ms, 3, 2_000 * ms, 8 * ms));
        Brain brain = new Brain(settings, 42);
        List<Action> actions = new ArrayList<>();
        long now = System.nanoTime();

        brain.handle(now, new Started(), actions::add);
        brain.handle(
                now,
                new MembersChanged(
                        ListKind.FULL,
                        List.of(
                                new Member(7, 0, 0, 0, MemberState.READY, 1, 0),
                                new Member(9, 0, 1, 0, MemberState.READY, 1, 0))),
                actions::add);
        actions.clear();
        brain.handle(now, new RequestArrived(1, 0xB0A7, 0, 0, false, false, 0, 1000 * ms), actions::add);
        assertEquals(new Send(1, 7, 400 * ms, Send.ANY_TIME), actions.get(0));
        brain.handle(now + 5 * ms, new AttemptEnded(1, 7, 0, Outcome.OK, false, true, 5 * ms), actions::add);
    }
}
