package slateseam.router.membership;

import slateseam.router.membership.Tracked.View;

/** Says what a server is from what the slices say of it. */
final class Describer {
    private final MembershipSettings settings;
    private final Places places;
    /** Those that lost the last slice of the preferred family, and may get another. */
    private final Waits<Tracked> changingFamily;

    Describer(MembershipSettings settings) {
        this.settings = settings;
        places = new Places(settings.places());
        changingFamily = new Waits<>(settings.bounds().servers());
    }

    /**
     * A server as it is to be told. Guards against another address for the time of a move: the slice of the preferred
     * family may only be on its way.
     */
    Server describe(Tracked server, boolean ready, long now) {
        Server settled = describeNow(server, ready);
        if (server.told == null
                || isIpv6(settled) == settings.preferIpv6()
                || isIpv6(server.told) != settings.preferIpv6()) {
            changingFamily.remove(server);
            return settled;
        }
        if (!changingFamily.contains(server)) {
            changingFamily.put(server, now + settings.guard().moveNanos());
        }
        return new Server(
                settled.name(),
                server.told.address(),
                server.told.port(),
                ready,
                settled.zone(),
                settled.kind(),
                settled.weight(),
                settled.bornAtNanos(),
                settled.origin(),
                settled.pod(),
                settled.node());
    }

    /** The same by what is there now alone. */
    Server describeNow(Tracked server, boolean ready) {
        View best = server.best(settings.preferIpv6());
        Part part = best.part();
        Endpoint endpoint = best.endpoint();
        return new Server(
                server.name,
                endpoint.addresses().get(0),
                part.slice().port(),
                ready,
                places.site(endpoint),
                part.kind(),
                part.weight(),
                part.start() >= 0 ? part.start() : server.bornAt,
                server.origin,
                endpoint.targetName() == null ? "" : endpoint.targetName(),
                endpoint.nodeName() == null ? "" : endpoint.nodeName());
    }

    static Server draining(Server s) {
        return new Server(
                s.name(),
                s.address(),
                s.port(),
                false,
                s.zone(),
                s.kind(),
                s.weight(),
                s.bornAtNanos(),
                s.origin(),
                s.pod(),
                s.node());
    }

    private static boolean isIpv6(Server server) {
        return server.address().indexOf(':') >= 0;
    }

    void forget(Tracked server) {
        changingFamily.remove(server);
    }

    /** One whose other address is to be told now; null if none is. */
    Tracked poll(long now) {
        return changingFamily.poll(now);
    }

    long next() {
        return changingFamily.next();
    }
}
