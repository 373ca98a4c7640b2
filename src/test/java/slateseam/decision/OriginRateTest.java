package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junitpioneer.jupiter.ExpectedToFail;
import slateseam.decision.Api.*;

/** Tests how R, the learned rate of origin fetches, develops after a router has started. */
class OriginRateTest {
    private static final long QUICK_FETCH_NANOS = 15 * MS;
    private static final long USUAL_FETCH_NANOS = 120 * MS;

    private record PendingAttempt(Send send, long due, Outcome outcome, long took) {}

    private final World w = World.single();
    private final List<PendingAttempt> pending = new ArrayList<>();
    private int served;
    private long key = 1_000;

    private double rate() {
        return SupplyTest.accounts(w.brain).get(0).rate;
    }

    /**
     * Runs a stream of writes through the router; each attempt ends with the given outcome.
     *
     * @param nanos how long the stream lasts
     * @param took how long each attempt takes, in nanoseconds
     */
    private void pass(long nanos, int perSecond, Outcome outcome, long took) {
        double due = 0;
        for (long end = w.now + nanos; w.now < end; ) {
            List<Action> actions = new ArrayList<>(w.pass(10 * MS));
            for (PendingAttempt o : List.copyOf(pending)) {
                if (o.due() <= w.now) {
                    pending.remove(o);
                    served += o.outcome() == Outcome.OK ? 1 : 0;
                    actions.addAll(w.end(o.send(), o.outcome(), 0, o.took()));
                }
            }
            for (due += perSecond / 100.0; due >= 1; due--) {
                actions.addAll(w.on(new RequestArrived(++key, key, 0, 1, true, false, 0, 1000 * MS)));
            }
            for (Action a : actions) {
                if (a instanceof Send s) {
                    pending.add(new PendingAttempt(s, w.now + took, outcome, took));
                }
            }
        }
    }

    /**
     * Guards against a usual fetch time learned from a few quick first fetches: all later fetches then looked like an
     * overload, and R was cut to less than half and stayed there for seconds.
     */
    @Test
    void quickFirstFetchesDoNotMakeTheUsualOnesAnOverload() {
        pass(150 * MS, 40, Outcome.OK, QUICK_FETCH_NANOS);
        double first = rate();
        pass(3_000 * MS, 80, Outcome.OK, USUAL_FETCH_NANOS);
        assertThat(rate()).as("R after the usual fetches").isGreaterThanOrEqualTo(first);
        pass(5_000 * MS, 80, Outcome.OK, USUAL_FETCH_NANOS);
        assertThat(rate()).as("R where all is usual and supply binds").isGreaterThan(1.2 * first);
    }

    /**
     * Just after a start nothing has been delivered yet, which says nothing about the rate that the origin can bear.
     */
    @Test
    void cutJustAfterAStartIgnoresTheMissingDeliveries() {
        double first = rate();
        pass(600 * MS, 80, Outcome.TIMEOUT, 50 * MS);
        assertThat(served).isZero();
        assertThat(rate()).as("R after losses").isLessThan(first).isGreaterThan(0.7 * first);
    }

    /**
     * A router that starts while the origin is overloaded takes the slow fetches for usual. It must unlearn that soon
     * after the overload has ended, and detect the next overload.
     */
    @Test
    void routerStartedDuringAnOverloadDetectsTheNext() {
        pass(3_000 * MS, 80, Outcome.OK, 4 * USUAL_FETCH_NANOS);
        pass(6_000 * MS, 80, Outcome.OK, USUAL_FETCH_NANOS);
        double calm = rate();
        pass(4_000 * MS, 80, Outcome.OK, 4 * USUAL_FETCH_NANOS);
        assertThat(rate()).as("R after the second overload").isLessThan(0.9 * calm);
    }

    /**
     * R has a floor of one fetch per second for each router, so that 1,024 routers never send an origin less than 1,024
     * fetches per second, however little it bears.
     */
    @Test
    @ExpectedToFail("open: R's floor grows with the number of routers")
    void manyRoutersLearnAnOriginThatBearsAHundredASecond() {
        World one = new World(World.settings(0, 1_024, false, List.of()), 7);
        one.fleet(10);
        Map<Long, Integer> attempts = new HashMap<>();
        for (int step = 0; step < 60_000 / 10; step++) {
            one.now += 10 * MS;
            one.on(new TimerFired(1));
            one.request(++key, 1);
            List<Action> actions = List.copyOf(one.actions);
            one.actions.clear();
            for (Action action : actions) {
                if (action instanceof Send send) {
                    int attempt = attempts.merge(send.request(), 1, Integer::sum) - 1;
                    one.end(send, Outcome.FULL, attempt, USUAL_FETCH_NANOS);
                }
            }
        }
        assertThat(SupplyTest.accounts(one.brain).get(0).rate)
                .as("R of an origin that has borne nothing for a minute")
                .isLessThanOrEqualTo(100);
    }
}
