package slateseam.router;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.Features;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.farm.FarmSource;
import slateseam.router.farm.Watch;
import slateseam.router.handover.Handover;
import slateseam.router.kubernetes.KubernetesFarm;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** Who tells this router the farm, and what it remembers of that over its restarts. */
final class ToldFarm implements FarmSource {
    /** So that waits between tries are not those of the decision module. */
    private static final long SEED = 0x6b38735f66726d31L;

    private final NodeConfig config;
    private final Farm farm;
    private final Executor aside;
    /** Null where Kubernetes tells the farm. */
    private final Watch watch;
    /** Null where discovery does. */
    private final KubernetesFarm kubernetes;

    private KubernetesSettings settings;
    private boolean wasHanded;
    /** Null where no other process of this router ever runs. */
    private final Handover handover;

    private final Loop loop;
    /** Null where nothing is remembered. */
    private final Memory memory;

    /**
     * Creates the source that the settings choose; it does nothing yet.
     *
     * @param aside does what would hold up the loop; null where nothing does
     */
    ToldFarm(
            Loop loop,
            NodeConfig config,
            Features features,
            Farm farm,
            Handover handover,
            Executor aside,
            Consumer<MembersChanged> listener) {
        this.config = config;
        this.loop = loop;
        this.handover = handover;
        this.farm = farm;
        this.aside = aside;
        settings = features.kubernetes();
        if (settings == null) {
            kubernetes = null;
            watch = new Watch(loop, config.discovery(), farm, config.seed() ^ SEED, changed -> {
                listener.accept(changed);
                remember();
            });
        } else {
            watch = null;
            kubernetes = new KubernetesFarm(loop, aside, settings, farm, config.seed() ^ SEED, listener);
            kubernetes.onChange(this::remember);
        }
        memory = features.snapshot() == null
                ? null
                : new Memory(loop, features.snapshot(), config.name(), source(), farm, kubernetes);
    }

    /** What the farm is told by, so that what is remembered of another is not used. */
    private String source() {
        return settings == null
                ? "discovery"
                : "kubernetes " + settings.api().authority() + " " + settings.namespace() + " " + settings.selector()
                        + " " + settings.port();
    }

    /** The farm as it was before the start: by the snapshot, or else as the configuration has it. */
    MembersChanged known() throws MalformedException {
        MembersChanged kept =
                memory == null ? null : memory.known(config.known().optLong("seq"));
        if (kept != null) {
            return kept;
        }
        MembersChanged handed = handover == null || kubernetes != null ? null : handed();
        if (handed != null) {
            wasHanded = true;
            return handed;
        }
        MembersChanged known = farm.take(config.known(), true);
        return known.members().isEmpty() && kubernetes != null ? kubernetes.known() : known;
    }

    /**
     * Whether somebody will say at once how the farm is now; calls back when that was said, or when nobody did. Guards what was
     * told while no process of this router was there: it counts as told from the first moment of this one.
     */
    boolean whenFirstTold(Runnable action) {
        if (watch == null || config.settings().askedDiscovery()) {
            return false;
        }
        watch.whenFirstEnds(action);
        return true;
    }

    /** Whether the farm is as a process before had it last. */
    boolean wasHanded() {
        return wasHanded;
    }

    /** What the process before was told, if that is newer than what the configuration brought. */
    private MembersChanged handed() {
        String kept = handover.farm();
        try {
            JSONObject list = kept == null ? null : new JSONObject(kept);
            return list == null || list.getLong("seq") <= config.known().optLong("seq") ? null : farm.take(list, true);
        } catch (JSONException | MalformedException e) {
            loop.log().line("handover", "the farm that was handed over cannot be read: " + e.getMessage());
            return null;
        }
    }

    /** Whether Kubernetes tells the farm, and not discovery. */
    boolean followsKubernetes() {
        return kubernetes != null;
    }

    private void remember() {
        if (memory != null) {
            memory.changed();
        }
        if (handover != null && kubernetes == null) {
            try {
                handover.keepFarm(farm.list().toString());
            } catch (IOException e) {
                loop.log().line("handover", "the farm could not be kept for a process that comes: " + e);
            }
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
        boolean elsewhere =
                !changedSettings.api().authority().equals(settings.api().authority());
        kubernetes.moveTo(changedSettings);
        settings = settings.at(changedSettings.api());
        if (elsewhere && memory != null) {
            memory.moved(source(), aside);
        }
        return "the API is at " + settings.api();
    }

    /** Writes what is still to be remembered. */
    void close() {
        if (memory != null) {
            memory.close();
        }
    }
}
