package slateseam.router.kubernetes;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.farm.Farm;
import slateseam.router.farm.Farm.Entry;
import slateseam.router.membership.Membership.Changes;
import slateseam.router.membership.MembershipSettings;
import slateseam.router.membership.MembershipSettings.Guard;
import slateseam.router.membership.MembershipSettings.Keys;
import slateseam.router.membership.MembershipSettings.Origin;
import slateseam.router.membership.MembershipSettings.Places;
import slateseam.router.membership.Server;

/** Between the operators' settings, the membership of slices and the farm. */
final class Memberships {
    private Memberships() {}

    static MembershipSettings settings(KubernetesSettings settings) {
        InetSocketAddress fixed = settings.origin().address();
        Origin origin = fixed == null
                ? new Origin(settings.origin().service(), null, 0)
                : new Origin(null, fixed.getAddress().getHostAddress(), fixed.getPort());
        MembershipSettings usual = MembershipSettings.USUAL;
        KubernetesSettings.Reading reading = settings.reading();
        return new MembershipSettings(
                origin,
                reading.preferIpv6(),
                usual.comparable(),
                new Places(reading.zones(), reading.nodes()),
                new Keys(reading.kind(), reading.weight(), reading.start()),
                new Guard(
                        settings.guard().share(),
                        settings.guard().nanos(),
                        usual.guard().moveNanos()),
                usual.bounds());
    }

    /** Brings all servers into the farm. */
    static MembersChanged whole(Farm farm, List<Server> servers, ListKind kind) {
        List<Entry> entries = new ArrayList<>(servers.size());
        servers.forEach(server -> add(farm, server, state(server), entries));
        return farm.take(entries, kind);
    }

    /** Brings changes into the farm; null if there are none. */
    static MembersChanged changes(Farm farm, Changes changes) {
        if (changes.changed().isEmpty() && changes.gone().isEmpty()) {
            return null;
        }
        List<Entry> entries =
                new ArrayList<>(changes.changed().size() + changes.gone().size());
        changes.changed().forEach(server -> add(farm, server, state(server), entries));
        changes.gone().forEach(server -> add(farm, server, MemberState.GONE, entries));
        return farm.take(entries, ListKind.DELTA);
    }

    private static MemberState state(Server server) {
        return server.ready() ? MemberState.READY : MemberState.DRAINING;
    }

    private static void add(Farm farm, Server server, MemberState state, List<Entry> entries) {
        // Guards against an address that only a snapshot from elsewhere can hold; what comes from the API was checked.
        if (SliceReader.isLiteral(server.address(), server.address().indexOf(':') >= 0)) {
            InetSocketAddress address = new InetSocketAddress(server.address(), server.port());
            entries.add(farm.entry(
                    server.name(),
                    address,
                    server.zone(),
                    server.kind(),
                    state,
                    server.weight(),
                    server.bornAtNanos(),
                    server.origin()));
        }
    }
}
