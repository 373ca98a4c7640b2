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

/**
 * Stores the list of the farm in snapshots, so that a restarted router knows the farm before its source answers.
 * Exists only if the settings name a folder for snapshots.
 */
final class FarmSnapshots {
    /** The maximum time to wait for a pending write when the router stops. */
    private static final long MAX_CLOSE_WAIT_MILLIS = 300;

    private final Loop loop;
    private final Features.Snapshot settings;
    private final String router;
    private final Farm farm;
    /** Null if discovery reports the farm. */
    private final KubernetesFarm kubernetes;
    /** Null while snapshots of a new source are being opened. */
    private Snapshots snapshots;

    private boolean writeScheduled;

    /**
     * Opens the snapshots of a router.
     *
     * @param source identifies what reports the farm; a snapshot of another source is not used
     */
    FarmSnapshots(
            Loop loop, Features.Snapshot settings, String router, String source, Farm farm, KubernetesFarm kubernetes) {
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
     * Restores the farm from the snapshot.
     *
     * @param configuredVersion the version of the discovery list in the configuration; a snapshot that is not newer
     *     is not used
     * @return the members of the farm; null if there is no usable snapshot
     */
    MembersChanged restore(long configuredVersion) throws MalformedException {
        Found found = snapshots.read(loop.now());
        loop.log().line("snapshot", found.text());
        if (found.finding() == Finding.GOOD && found.content() instanceof Content.Slices slices && kubernetes != null) {
            kubernetes.restore(slices.remembered());
            return kubernetes.known();
        }
        if (found.finding() == Finding.GOOD
                && found.content() instanceof Content.Discovery discovered
                && kubernetes == null
                && discovered.list().optLong("seq") > configuredVersion) {
            return farm.take(discovered.list(), true);
        }
        return null;
    }

    /** Schedules a snapshot after the farm has changed; changes within one interval share a snapshot. */
    void scheduleWrite() {
        if (!writeScheduled) {
            writeScheduled = true;
            loop.after(settings.everyNanos(), this::write);
        }
    }

    private void write() {
        writeScheduled = false;
        if (snapshots != null) {
            snapshots.offer(
                    kubernetes == null
                            ? new Content.Discovery(farm.list())
                            : new Content.Slices(kubernetes.remembered()),
                    loop.now());
        }
    }

    /**
     * Reopens the snapshots for another source. Each Kubernetes API counts its own versions, so a snapshot of one API
     * must not be read as a snapshot of another.
     */
    void reopen(String source, Executor background) {
        Snapshots previous = snapshots;
        snapshots = null;
        background.execute(() -> {
            close(previous);
            Snapshots opened = open(source);
            loop.handOver(() -> {
                snapshots = opened;
                scheduleWrite();
            });
        });
    }

    /** Writes a pending snapshot, and waits for at most 0.3 s until it is written. */
    void close() {
        if (writeScheduled) {
            write();
        }
        close(snapshots);
    }

    private static void close(Snapshots snapshots) {
        try {
            if (snapshots != null) {
                snapshots.close(MAX_CLOSE_WAIT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
