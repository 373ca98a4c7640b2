package slateseam.router;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.Features;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.farm.FarmSource;
import slateseam.router.farm.Watch;
import slateseam.router.kubernetes.KubernetesFarm;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.snapshot.Content;
import slateseam.router.snapshot.Finding;
import slateseam.router.snapshot.Found;
import slateseam.router.snapshot.SnapshotSettings;
import slateseam.router.snapshot.Snapshots;

/** Who tells this router the farm, and what it remembers of that over its restarts. */
final class ToldFarm implements FarmSource {
    private static final long MOST_CLOSE_MILLIS = 300;
    /** So that waits between tries are not those of the decision module. */
    private static final long SEED = 0x6b38735f66726d31L;

    private final Loop loop;
    private final NodeConfig config;
    private final Features features;
    private final Farm farm;
    private final Executor aside;
    /** Null where Kubernetes tells the farm. */
    private final Watch watch;
    /** Null where discovery does. */
    private final KubernetesFarm kubernetes;
    private KubernetesSettings settings;
    /** Null where nothing is remembered. */
    private Snapshots snapshots;
    private boolean offers;

    /**
     * Creates the source that the settings choose; it does nothing yet.
     *
     * @param aside does what would hold up the loop; null where nothing does
     */
    ToldFarm(Loop loop, NodeConfig config, Features features, Farm farm, Executor aside,
            Consumer<MembersChanged> listener) {
        this.loop = loop;
        this.config = config;
        this.features = features;
        this.farm = farm;
        this.aside = aside;
        settings = features.kubernetes();
        if (settings == null) {
            kubernetes = null;
            watch = new Watch(loop, config.discovery(), farm, changed -> {
                listener.accept(changed);
                remember();
            });
        } else {
            watch = null;
            kubernetes = new KubernetesFarm(loop, aside, settings, farm, config.seed() ^ SEED, listener);
            kubernetes.onChange(this::remember);
        }
        snapshots = features.snapshot() == null ? null : open();
    }

    private Snapshots open() {
        String source = settings == null ? "discovery" : "kubernetes " + settings.api().authority() + " "
                + settings.namespace() + " " + settings.selector() + " " + settings.port();
        return new Snapshots(new SnapshotSettings(features.snapshot().folder(), config.name(), source,
                features.snapshot().everyNanos(), features.snapshot().oldestNanos(), SnapshotSettings.USUAL_BYTES),
                line -> loop.handOver(() -> loop.log().line("snapshot", line)));
    }

    /** The farm as it was before the start: by the snapshot, or else as the configuration has it. */
    MembersChanged known() throws MalformedException {
        Found found = snapshots == null ? null : snapshots.read(loop.now());
        if (found != null) {
            loop.log().line("snapshot", found.text());
        }
        Content content = found == null || found.finding() != Finding.GOOD ? null : found.content();
        if (content instanceof Content.Slices slices && kubernetes != null) {
            kubernetes.restore(slices.remembered());
            return kubernetes.known();
        }
        if (content instanceof Content.Discovery discovery && kubernetes == null) {
            return farm.take(discovery.list(), true);
        }
        MembersChanged known = farm.take(config.known(), true);
        return known.members().isEmpty() && kubernetes != null ? kubernetes.known() : known;
    }

    /** Whether Kubernetes tells the farm, and not discovery. */
    boolean followsKubernetes() {
        return kubernetes != null;
    }

    private void remember() {
        if (snapshots != null && !offers) {
            offers = true;
            loop.after(features.snapshot().everyNanos(), this::offer);
        }
    }

    private void offer() {
        offers = false;
        if (snapshots != null) {
            snapshots.offer(kubernetes == null ? new Content.Discovery(farm.list())
                    : new Content.Slices(kubernetes.remembered()), loop.now());
        }
    }

    @Override
    public void begin() {
        if (kubernetes == null) {
            watch.begin();
        } else {
            kubernetes.begin();
        }
    }

    /**
     * Goes on elsewhere, as the files were changed.
     *
     * @return what tells the farm now, for the log
     */
    String moveTo(NodeConfig changed, KubernetesSettings changedSettings) {
        if (kubernetes == null) {
            watch.moveTo(changed.discovery());
            return "discovery is at " + changed.discovery();
        }
        if (changedSettings == null) {
            return "the API stays at " + settings.api() + ": to do without it takes a restart";
        }
        boolean elsewhere = !changedSettings.api().authority().equals(settings.api().authority());
        kubernetes.moveTo(changedSettings);
        settings = settings.at(changedSettings.api());
        if (elsewhere && snapshots != null) {
            reopen();
        }
        return "the API is at " + settings.api();
    }

    /** Guards against a snapshot that tells of one API and is read as another's, whose versions count for themselves. */
    private void reopen() {
        Snapshots before = snapshots;
        snapshots = null;
        aside.execute(() -> {
            close(before);
            Snapshots opened = open();
            loop.handOver(() -> {
                snapshots = opened;
                remember();
            });
        });
    }

    /** Writes what is still to be written. */
    void close() {
        if (snapshots != null) {
            if (offers) {
                offer();
            }
            close(snapshots);
        }
    }

    private static void close(Snapshots snapshots) {
        try {
            snapshots.close(MOST_CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
