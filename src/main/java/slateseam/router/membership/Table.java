package slateseam.router.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateseam.router.membership.Remembered.Known;
import slateseam.router.membership.Tracked.View;

/** The servers that the slices tell of: which there are, what each is taken for, and when one is taken for gone. */
final class Table {
    /** Few servers are in two slices at once, and soon in one. */
    private static final int VIEWS_A_SERVER = 4;

    private static final int LEFT_A_SLICE = 8;
    private static final String ORIGIN = "origin/";

    private final MembershipSettings settings;
    private final Notes notes;
    private final Describer describer;
    private final Map<String, Tracked> servers = new HashMap<>();
    private final Left left;
    private final Roster roster = new Roster();
    private final Absent absent;
    /** Those that only older views say are ready, until a list settles it. */
    private final Waits<Tracked> inDoubt;

    private final Set<Tracked> touched = new LinkedHashSet<>();
    private int views;
    private boolean full;

    Table(MembershipSettings settings, Notes notes) {
        this.settings = settings;
        this.notes = notes;
        describer = new Describer(settings);
        left = new Left(LEFT_A_SLICE * settings.bounds().deleted());
        absent = new Absent(settings, notes);
        inDoubt = new Waits<>(settings.bounds().servers());
        if (settings.origin().address() != null) {
            String address = settings.origin().address();
            int port = settings.origin().port();
            roster.put(new Server(ORIGIN + address + ":" + port, address, port, true, "", "", 1, 0, true, "", ""));
        }
    }

    Roster roster() {
        return roster;
    }

    /** Takes in what a slice says; {@code old} is whether a server that was not known has long been there. */
    void add(Part part, boolean old, long now) {
        for (Endpoint endpoint : part.slice().endpoints()) {
            Tracked server = find(part, endpoint, old, now);
            if (server == null) {
                part.missed |= part.hasPort();
                continue;
            }
            server.saw(endpoint, part.slice().version());
            touched.add(server);
            if (!part.hasPort()) {
                continue;
            }
            if (server.views.isEmpty()
                    || views < VIEWS_A_SERVER * settings.bounds().servers()) {
                server.views.add(new View(part, endpoint));
                part.members.add(server);
                views++;
            } else {
                part.missed = true;
                full = true;
            }
        }
    }

    /** Takes out what a slice said. */
    void remove(Part part) {
        for (Tracked server : part.members) {
            int before = server.views.size();
            server.views.removeIf(view -> view.part() == part);
            views -= before - server.views.size();
            touched.add(server);
        }
    }

    /** Takes only the drains of a slice that is not taken in. */
    void drain(Part part, long now) {
        for (Endpoint endpoint : part.slice().endpoints()) {
            if (endpoint.takesNew()) {
                continue;
            }
            String name = name(part, endpoint);
            Tracked server = servers.get(name);
            if (server != null) {
                server.saw(endpoint, part.slice().version());
                touched.add(server);
            } else {
                left.drained(name, part.isOrigin(), part.slice().version(), now);
            }
        }
    }

    /** A whole list was taken in, which is newer than all that was told before: only what is in it counts. */
    void recount() {
        left.forgetDrains();
        for (Tracked server : servers.values()) {
            server.recount();
            touched.add(server);
        }
    }

    private static String name(Part part, Endpoint endpoint) {
        String own = isByAddress(endpoint) ? endpoint.addresses().get(0) : endpoint.targetUid();
        return part.isOrigin() ? ORIGIN + own : own;
    }

    private static boolean isByAddress(Endpoint endpoint) {
        return endpoint.targetUid() == null || endpoint.targetUid().isEmpty();
    }

    /** The server of an endpoint; null if it is not known and cannot be taken in. */
    private Tracked find(Part part, Endpoint endpoint, boolean old, long now) {
        String name = name(part, endpoint);
        Tracked server = servers.get(name);
        if (server != null || !part.hasPort()) {
            return server;
        }
        if (servers.size() >= settings.bounds().servers()) {
            if (!full) {
                notes.add("farm-bound", "there are " + servers.size() + " servers; further ones are not taken in");
            }
            full = true;
            return null;
        }
        server = new Tracked(name, part.isOrigin(), isByAddress(endpoint));
        server.bornAt = old ? 0 : now;
        server.seenReady = old;
        left.bringBack(server);
        servers.put(name, server);
        return server;
    }

    /** Brings the list up to date with all that was added and removed since. */
    void settle(boolean whole, long now) {
        for (Tracked server : touched) {
            if (server.views.isEmpty()) {
                settleAbsent(server, now);
            } else {
                settlePresent(server, whole, now);
            }
        }
        touched.clear();
        absent.guard(now);
    }

    private void settlePresent(Tracked server, boolean whole, long now) {
        boolean wasReady = server.told != null && server.told.ready() && !absent.contains(server);
        absent.returned(server);
        boolean ready = server.isReady(settings.comparable());
        if (ready != wasReady) {
            absent.losses(server).ready(server, ready);
        }
        if (ready && !server.seenReady) {
            server.seenReady = true;
            server.bornAt = now;
            absent.losses(server).came(server, now);
        }
        if (!settings.comparable() || whole || !server.isInDoubt()) {
            inDoubt.remove(server);
        } else if (!inDoubt.contains(server)) {
            inDoubt.put(server, now + settings.guard().nanos());
        }
        tell(server, describer.describe(server, ready, now));
    }

    private void settleAbsent(Tracked server, long now) {
        inDoubt.remove(server);
        describer.forget(server);
        if (server.told == null) {
            servers.remove(server.name);
            return;
        }
        if (!absent.contains(server)) {
            absent.add(server, now);
        }
        if (settings.comparable() && server.drainsAway()) {
            tell(server, Describer.draining(server.told));
            absent.drained(server, now);
        }
    }

    private void tell(Tracked server, Server now) {
        if (!now.equals(server.told)) {
            server.told = now;
            roster.put(now);
        }
    }

    /** Does what is due by time alone; whether there is room again for what found none. */
    boolean tick(long now) {
        for (Tracked server; (server = absent.poll(now)) != null; ) {
            left.add(known(server, null, false));
            servers.remove(server.name);
            roster.remove(server.name);
        }
        for (Tracked server; (server = describer.poll(now)) != null; ) {
            tell(server, describer.describeNow(server, server.told.ready()));
        }
        boolean room = full && servers.size() < settings.bounds().servers();
        full &= !room;
        return room;
    }

    long nextChange() {
        return Math.min(absent.next(), describer.next());
    }

    /** When a list should be read to settle what is in doubt. */
    long nextLook() {
        return inDoubt.next();
    }

    private static Known known(Tracked s, Server held, boolean guarded) {
        return new Known(s.name, s.origin, s.bornAt, s.seenReady, s.drainedAt, held, guarded);
    }

    /** What cannot be told from the slices. */
    List<Known> remembered() {
        List<Known> all = new ArrayList<>(left.all());
        for (Tracked server : servers.values()) {
            Server held = absent.contains(server) ? server.told : null;
            if (held != null || server.bornAt != 0 || !server.seenReady || server.drainedAt >= 0) {
                all.add(known(server, held, absent.isGuarded(server)));
            }
        }
        return all;
    }

    /**
     * Goes on from what was remembered, after the slices that were remembered are added and before they are settled.
     */
    void restore(List<Known> all, long now) {
        for (Known known : all) {
            Tracked server = servers.get(known.name());
            if (server == null && known.held() == null) {
                left.add(known);
            } else if (server != null) {
                server.bornAt = known.bornAtNanos();
                server.seenReady = known.seenReady();
                server.drainedAt = Math.max(server.drainedAt, known.drainedAt());
            } else if (servers.size() < settings.bounds().servers()) {
                restoreHeld(known, now);
            }
        }
    }

    private void restoreHeld(Known known, long now) {
        String own = known.origin() ? known.name().substring(ORIGIN.length()) : known.name();
        Tracked server = new Tracked(
                known.name(), known.origin(), own.equals(known.held().address()));
        server.bornAt = known.bornAtNanos();
        server.seenReady = known.seenReady();
        server.drainedAt = known.drainedAt();
        server.readyAt = known.held().ready() ? known.drainedAt() + 1 : -1;
        servers.put(known.name(), server);
        tell(server, known.held());
        absent.restore(server, known.guarded(), now);
    }
}
