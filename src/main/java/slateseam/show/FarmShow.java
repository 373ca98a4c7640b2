package slateseam.show;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import slateseam.router.config.Features;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.farm.Watch;
import slateseam.router.kubernetes.KubernetesFarm;
import slateseam.router.kubernetes.SavedList;
import slateseam.router.membership.Endpoint;
import slateseam.router.membership.Membership;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Server;
import slateseam.router.membership.Slice;
import slateseam.router.net.BackgroundExecutor;
import slateseam.router.net.Clock;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** Shows the farm as a router of a configuration would see it now: by its source itself, or by a saved list. */
public final class FarmShow {
    private static final long MOST_NANOS = 10_000 * Clock.MILLI;
    private static final long ROUND_NANOS = 50 * Clock.MILLI;

    private final NodeConfig config;
    private final Features features;
    private final Clock clock = Clock.system();
    private final List<String> troubles = new ArrayList<>();
    private final Loop loop;

    /** Prepares a look; nothing is asked yet. */
    public FarmShow(NodeConfig config, Features features) throws IOException {
        this.config = config;
        this.features = features;
        this.loop = new Loop(clock, new Log(config.name(), clock, troubles::add));
    }

    /**
     * Writes the servers as a table, or as JSON.
     *
     * @param from a saved list of EndpointSlices; null to ask the source
     * @throws IOException if the list cannot be read, or the source tells none within 10 s; the message says why
     */
    public void show(Path from, boolean json, PrintStream out) throws IOException {
        List<Shown> servers = features.kubernetes() == null ? discovered() : slices(features.kubernetes(), from);
        servers.sort(
                Comparator.comparing(Shown::origin).thenComparing(Shown::name).thenComparing(Shown::address));
        if (json) {
            out.println(Shown.json(servers).toString(2));
        } else {
            Shown.table(servers).forEach(out::println);
        }
    }

    private List<Shown> slices(KubernetesSettings settings, Path from) throws IOException {
        if (from != null) {
            try {
                Membership membership = SavedList.read(settings, from, loop);
                return shown(membership.servers(loop.now()), membership.remembered());
            } catch (MalformedException e) {
                throw new IOException(from + ": " + e.getMessage());
            }
        }
        KubernetesFarm source =
                new KubernetesFarm(loop, new BackgroundExecutor(), settings, farm(), config.seed(), change -> {});
        source.begin();
        await(() -> source.version() != null, "the API at " + settings.api());
        return shown(source.servers(), source.remembered());
    }

    private Farm farm() {
        return new Farm(config.zones(), config.kinds(), config.settings().originKind());
    }

    private void await(BooleanSupplier told, String who) throws IOException {
        long until = clock.nanos() + MOST_NANOS;
        while (!told.getAsBoolean()) {
            if (clock.nanos() > until) {
                throw new IOException(who + " told no list within " + MOST_NANOS / Clock.MILLI / 1_000 + " s"
                        + (troubles.isEmpty() ? "" : "; " + troubles.get(troubles.size() - 1)));
            }
            loop.round(ROUND_NANOS);
        }
    }

    private List<Shown> discovered() throws IOException {
        Farm farm = farm();
        boolean[] told = new boolean[1];
        new Watch(loop, config.discovery(), farm, 1, change -> told[0] = true).begin();
        await(() -> told[0], "discovery at " + config.discovery());
        List<Shown> shown = new ArrayList<>();
        for (Farm.Entry entry : farm.entries()) {
            String address = entry.address().toString();
            shown.add(new Shown(
                    entry.host(),
                    entry.host(),
                    address.substring(address.indexOf('/') + 1),
                    entry.isReady(),
                    "",
                    name(config.zones(), entry.member().zone()),
                    name(config.kinds(), entry.member().kind()),
                    entry.member().rating(),
                    since(entry.member().upSinceNanos()),
                    entry.isOrigin()));
        }
        return shown;
    }

    private static String name(List<String> names, int number) {
        return number < names.size() ? names.get(number) : "";
    }

    private static Instant since(long nanos) {
        return nanos == 0 ? null : Instant.ofEpochMilli(nanos / Clock.MILLI);
    }

    private static List<Shown> shown(List<Server> servers, Remembered remembered) {
        List<Shown> shown = new ArrayList<>();
        for (Server s : servers) {
            String host = s.address().indexOf(':') < 0 ? s.address() : "[" + s.address() + "]";
            shown.add(new Shown(
                    s.pod().isEmpty() ? s.name() : s.pod(),
                    s.name(),
                    host + ":" + s.port(),
                    s.ready(),
                    s.ready() ? "" : why(s, remembered),
                    s.zone(),
                    s.kind(),
                    s.weight(),
                    since(s.bornAtNanos()),
                    s.origin()));
        }
        return shown;
    }

    /** Why a server drains, by what slices tell of its address. */
    private static String why(Server server, Remembered remembered) {
        String why = "listed no more";
        for (Slice slice : remembered.slices()) {
            for (Endpoint endpoint : slice.endpoints()) {
                if (endpoint.addresses().contains(server.address()) && !endpoint.takesNew()) {
                    why = Boolean.TRUE.equals(endpoint.terminating())
                            ? "terminating"
                            : Boolean.FALSE.equals(endpoint.ready()) ? "not ready" : "not serving";
                }
            }
        }
        return why;
    }
}
