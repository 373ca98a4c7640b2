package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.*;

/** Feeds one instance with events and keeps its actions; the tests decide what happens. */
final class World {
    static final long MS = 1_000_000L;
    static final long ORIGIN = 1;
    final Brain brain;
    final List<Action> actions = new ArrayList<>();
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

    /** An aside site with one pure class, one keyed write class and one unsafe write class. */
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

    static World single() {
        World w = new World(settings(0, 1, false, List.of()), 7);
        w.fleet(10);
        return w;
    }

    static Member member(long id, MemberState state, long up) {
        return new Member(id, 0, id == ORIGIN ? 1 : 0, 0, state, 1, up);
    }

    /** Lists the origin and so many caches, ids from 10. */
    void fleet(int caches) {
        List<Member> members = new ArrayList<>();
        members.add(member(ORIGIN, MemberState.READY, 0));
        for (int i = 0; i < caches; i++) {
            members.add(member(10 + i, MemberState.READY, 0));
        }
        on(new MembersChanged(ListKind.FULL, members));
    }

    List<Action> on(Event event) {
        List<Action> answer = new ArrayList<>();
        brain.handle(now, event, answer::add);
        actions.addAll(answer);
        return answer;
    }

    /** Lets time pass, with the module's housekeeping. */
    List<Action> pass(long nanos) {
        List<Action> all = new ArrayList<>();
        for (long end = now + nanos; now < end; ) {
            now += 10 * MS;
            all.addAll(on(new TimerFired(1)));
        }
        return all;
    }

    long request(long key, int type) {
        return request(key, type, 0);
    }

    /** The same of another tenant than the first. */
    long request(long key, int type, int tenant) {
        long id = nextRequest++;
        on(new RequestArrived(id, key, tenant, type, type == 1 || type == 2, false, 0, 1000 * MS));
        return id;
    }

    List<Action> end(Send send, Outcome outcome, int attempt, long took) {
        return on(
                new AttemptEnded(send.request(), send.member(), attempt, outcome, false, outcome == Outcome.OK, took));
    }

    /** Ends the request's first attempt so, and serves it at the next that it gets at once. */
    void drive(long request, Outcome first) {
        for (int attempt = 0; sends(request) > attempt && attempt < 4; attempt++) {
            end(sent(request), attempt == 0 ? first : Outcome.OK, attempt, MS);
        }
    }

    /** The request's last send. */
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

    long sends(long request) {
        return actions.stream()
                .filter(a -> a instanceof Send s && s.request() == request)
                .count();
    }

    /** The n-th key that belongs to a cache while there are ten. */
    static long keyOf(long cache, int n) {
        World fresh = single();
        long key = 1_000;
        for (int found = -1; found < n; key++) {
            found += fresh.homeOf(key) == cache ? 1 : 0;
        }
        return key - 1;
    }

    /** The cache that a key is sent to now; the request is served at once. */
    long homeOf(long key) {
        Send s = sent(request(key, 0));
        if (s == null) {
            return -1;
        }
        end(s, Outcome.OK, 0, 5 * MS);
        return s.member();
    }
}
