package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.ClientGone;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.Send;

/** No attempt is sent for a request after its client has disconnected, whatever the request is waiting for. */
class ClientGoneTest {
    private final World w = World.single();

    /**
     * Reports the client of a request as gone and checks that neither an attempt nor an answer follows.
     *
     * @param meanwhile what happens next, for instance attempts that end and free room
     */
    private void nothingMoreIsSentFor(long request, Runnable meanwhile) {
        long before = w.sends(request);
        w.on(new ClientGone(request));
        meanwhile.run();
        w.pass(3_000 * MS);
        assertThat(w.sends(request)).isEqualTo(before);
        assertThat(w.refused(request) || w.failed(request))
                .as("an answer after the client has disconnected")
                .isFalse();
    }

    @Test
    void whileWaitingForSupply() {
        List<Long> held = new ArrayList<>();
        for (long key = 1; key <= 300; key++) {
            long request = w.request(key, 0);
            w.end(w.sent(request), Outcome.MISS, 0, MS);
            if (w.sends(request) == 1) {
                held.add(request);
            }
        }
        assertThat(held).isNotEmpty();
        nothingMoreIsSentFor(held.get(held.size() - 1), () -> {});
    }

    @Test
    void whileWaitingForTheFetchOfAnotherRequest() {
        w.pass(1_000 * MS);
        long leader = w.request(5, 0);
        long follower = w.request(5, 0);
        w.end(w.sent(leader), Outcome.MISS, 0, MS);
        w.end(w.sent(follower), Outcome.MISS, 0, MS);
        nothingMoreIsSentFor(follower, () -> w.end(w.sent(leader), Outcome.OK, 1, 20 * MS));
    }

    @Test
    void whileTheCacheIsFetching() {
        long request = w.request(5, 0);
        Send first = w.sent(request);
        w.on(new AttemptEnded(request, first.member(), 0, Outcome.MISS, true, false, MS));
        nothingMoreIsSentFor(request, () -> {});
    }

    @Test
    void whileWaitingForRoomAtACache() {
        List<Send> out = new ArrayList<>();
        long last = 0;
        for (int i = 0; i < 200; i++) {
            last = w.request(5, 0);
            if (w.sends(last) > 0) {
                out.add(w.sent(last));
            }
        }
        long waits = last;
        assertThat(w.sends(waits)).isZero();
        nothingMoreIsSentFor(waits, () -> out.forEach(send -> w.end(send, Outcome.OK, 0, 20 * MS)));
    }

    @Test
    void betweenTwoAttempts() {
        long request = w.request(5, 0);
        Send first = w.sent(request);
        nothingMoreIsSentFor(
                request, () -> w.on(new AttemptEnded(request, first.member(), 0, Outcome.RESET, false, true, MS)));
    }
}
