package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.*;

/** A test harness that passes events to one {@link Brain} and records its actions. Times are in nanoseconds. */
final class World {
    static final long MS = 1_000_000L;
    /** The member id of the origin. */
    static final long ORIGIN = 1;

    final Brain brain;
    final List<Action> actions = new ArrayList<>();
    /** The time of the next event. */
    long now;

    private long nextRequest = 1;

    World(Settings settings, long seed) {
        this(settings, seed, 1_000_000 * MS);
    }

    World(Settings settings, long seed, long now) {
        this(settings, seed, now, SupplyLinks.OFF);
    }

    World(Settings settings, long seed, long now, SupplyLinks links) {
        this.now = now;
        brain = new Brain(settings, seed, links);
        on(new Started());
    }

    /**
     * Returns the settings of a cache-aside site with four classes: 0 for safe reads, 1 for keyed writes, 2 for writes
     * that must not run twice and 3 for streamed reads.
     */
    static Settings settings(int me, int routers, boolean asked, List<Tenant> tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 500 * MS, 1000 * MS, 1, 0.5, Effect.PURE, Group.ALL, 0, false),
                new RequestClass("hold", 500 * MS, 1000 * MS, 1, 0.5, Effect.TOKEN, Group.CELL, 200 * MS, false),
                new RequestClass("pay", 500 * MS, 1000 * MS, 1, 0.5, Effect.SIDE_EFFECT, Group.ALL, 0, false),
                new RequestClass("feed", 500 * MS, 1000 * MS, 1, 0.5, Effect.PURE, Group.ALL, 0, true));
        return new Settings(
                me,
                routers,
                0,
                MS,
                asked,
                CacheMode.ASIDE,
                1,
                0.1,
                classes,
                tenants,
                new Limits(4, false, true, true, true, true, 500 * MS, 100 * MS, 32),
                new Rules(500 * MS, 10_000 * MS, 0.3, 8_000 * MS, 3, 2_000 * MS, 8 * MS));
    }

    /** Returns the harness of a tier with one router, an origin and ten cache servers. */
    static World single() {
        World w = new World(settings(0, 1, false, List.of()), 7);
        w.fleet(10);
        return w;
    }

    static Member member(long id, MemberState state, long up) {
        return new Member(id, 0, id == ORIGIN ? 1 : 0, 0, state, 1, up);
    }

    /** Reports a full list of the origin and the given number of cache servers, whose ids count from 10. */
    void fleet(int caches) {
        List<Member> members = new ArrayList<>();
        members.add(member(ORIGIN, MemberState.READY, 0));
        for (int i = 0; i < caches; i++) {
            members.add(member(10 + i, MemberState.READY, 0));
        }
        on(new MembersChanged(ListKind.FULL, members));
    }

    /** Handles an event and returns the actions that result. */
    List<Action> on(Event event) {
        List<Action> answer = new ArrayList<>();
        brain.handle(now, event, answer::add);
        actions.addAll(answer);
        return answer;
    }

    /** Advances the time in steps of 10 ms, with a round of housekeeping after each, and returns all actions. */
    List<Action> pass(long nanos) {
        List<Action> all = new ArrayList<>();
        for (long end = now + nanos; now < end; ) {
            now += 10 * MS;
            all.addAll(on(new TimerFired(1)));
        }
        return all;
    }

    /** Sends a request of the first tenant and returns its number; the classes 1 and 2 are writes. */
    long request(long key, int type) {
        return request(key, type, 0);
    }

    /** Sends a request of the given tenant and returns its number; the classes 1 and 2 are writes. */
    long request(long key, int type, int tenant) {
        long id = nextRequest++;
        on(new RequestArrived(id, key, tenant, type, type == 1 || type == 2, false, 0, 1000 * MS));
        return id;
    }

    /** Ends an attempt after {@code took} nanoseconds; {@code OK} is the final answer. */
    List<Action> end(Send send, Outcome outcome, int attempt, long took) {
        return on(
                new AttemptEnded(send.request(), send.member(), attempt, outcome, false, outcome == Outcome.OK, took));
    }

    /** Ends the first attempt of a request with the given outcome, and serves any retry that follows at once. */
    void drive(long request, Outcome first) {
        for (int attempt = 0; sends(request) > attempt && attempt < 4; attempt++) {
            end(sent(request), attempt == 0 ? first : Outcome.OK, attempt, MS);
        }
    }

    /** Returns the latest attempt that was begun for a request; null if there is none. */
    Send sent(long request) {
        Send found = null;
        for (Action a : actions) {
            if (a instanceof Send s && s.request() == request) {
                found = s;
            }
        }
        return found;
    }

    boolean refused(long request) {
        return actions.stream().anyMatch(a -> a instanceof Refuse r && r.request() == request);
    }

    boolean failed(long request) {
        return actions.stream().anyMatch(a -> a instanceof Fail f && f.request() == request);
    }

    /** Returns how many attempts were begun for a request. */
    long sends(long request) {
        return actions.stream()
                .filter(a -> a instanceof Send s && s.request() == request)
                .count();
    }

    /** Returns the n-th key from 1000 on, counted from 0, that belongs to a cache server in {@link #single}. */
    static long keyOf(long cache, int n) {
        World fresh = single();
        long key = 1_000;
        for (int found = -1; found < n; key++) {
            found += fresh.homeOf(key) == cache ? 1 : 0;
        }
        return key - 1;
    }

    /** Reads a key, serves the request and returns the cache server to which it was sent; -1 if it was not sent. */
    long homeOf(long key) {
        Send s = sent(request(key, 0));
        if (s == null) {
            return -1;
        }
        end(s, Outcome.OK, 0, 5 * MS);
        return s.member();
    }
}
