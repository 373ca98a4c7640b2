package slateseam.router;

import java.util.concurrent.Executor;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.Features;
import slateseam.router.farm.Farm;
import slateseam.router.kubernetes.KubernetesFarm;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.snapshot.Content;
import slateseam.router.snapshot.Finding;
import slateseam.router.snapshot.Found;
import slateseam.router.snapshot.SnapshotSettings;
import slateseam.router.snapshot.Snapshots;

/** What a router keeps of the farm over its restarts; there is none where no folder for it is named. */
final class Memory {
    private static final long MOST_CLOSE_MILLIS = 300;

    private final Loop loop;
    private final Features.Snapshot settings;
    private final String router;
    private final Farm farm;
    /** Null where discovery tells the farm. */
    private final KubernetesFarm kubernetes;
    /** Null while another one is opened. */
    private Snapshots snapshots;

    private boolean offers;

    /** Opens the snapshots of a router; the source is what the farm is told by. */
    Memory(Loop loop, Features.Snapshot settings, String router, String source, Farm farm, KubernetesFarm kubernetes) {
        this.loop = loop;
        this.settings = settings;
        this.router = router;
        this.farm = farm;
        this.kubernetes = kubernetes;
        snapshots = open(source);
    }

    private Snapshots open(String source) {
        return new Snapshots(
                new SnapshotSettings(
                        settings.folder(),
                        router,
                        source,
                        settings.everyNanos(),
                        settings.oldestNanos(),
                        SnapshotSettings.USUAL_BYTES),
                line -> loop.handOver(() -> loop.log().line("snapshot", line)));
    }

    /**
     * The farm as it was kept; null if there is nothing that can be used.
     *
     * @param other the version of discovery's list that the configuration brought; an older one is of no use
     */
    MembersChanged known(long other) throws MalformedException {
        Found found = snapshots.read(loop.now());
        loop.log().line("snapshot", found.text());
        if (found.finding() == Finding.GOOD && found.content() instanceof Content.Slices slices && kubernetes != null) {
            kubernetes.restore(slices.remembered());
            return kubernetes.known();
        }
        if (found.finding() == Finding.GOOD
                && found.content() instanceof Content.Discovery told
                && kubernetes == null
                && told.list().optLong("seq") > other) {
            return farm.take(told.list(), true);
        }
        return null;
    }

    /** The farm has changed: keeps it, before long. */
    void changed() {
        if (!offers) {
            offers = true;
            loop.after(settings.everyNanos(), this::offer);
        }
    }

    private void offer() {
        offers = false;
        if (snapshots != null) {
            snapshots.offer(
                    kubernetes == null
                            ? new Content.Discovery(farm.list())
                            : new Content.Slices(kubernetes.remembered()),
                    loop.now());
        }
    }

    /**
     * Guards against a snapshot that tells of one API and is read as another's, whose versions count for themselves.
     */
    void moved(String source, Executor aside) {
        Snapshots before = snapshots;
        snapshots = null;
        aside.execute(() -> {
            close(before);
            Snapshots opened = open(source);
            loop.handOver(() -> {
                snapshots = opened;
                changed();
            });
        });
    }

    /** Writes what is still to be written, for at most 0.3 s. */
    void close() {
        if (offers) {
            offer();
        }
        close(snapshots);
    }

    private static void close(Snapshots snapshots) {
        try {
            if (snapshots != null) {
                snapshots.close(MOST_CLOSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
