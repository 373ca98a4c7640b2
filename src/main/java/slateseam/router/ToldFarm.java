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

/**
 * The source of the farm of this router, discovery or Kubernetes, with what is stored of the farm across restarts.
 */
final class ToldFarm implements FarmSource {
    /**
     * Mixed into the seed, so that the random waits between tries differ from the random numbers of the decision
     * module.
     */
    private static final long SEED = 0x6b38735f66726d31L;

    private final NodeConfig config;
    private final Farm farm;
    private final Executor aside;
    /** Null if Kubernetes reports the farm. */
    private final Watch watch;
    /** Null if discovery reports the farm. */
    private final KubernetesFarm kubernetes;

    private KubernetesSettings settings;
    private boolean wasHanded;
    /** Null if no other process of this router ever runs. */
    private final Handover handover;

    private final Loop loop;
    /** Null if snapshots are off. */
    private final Memory memory;

    /**
     * Creates the source that the settings select, without starting it.
     *
     * @param aside runs blocking tasks outside the loop; null if no feature needs it
     * @param listener is called with each change of the farm
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

    /** Returns an identifier of the source, so that a snapshot of another source is not used. */
    private String source() {
        return settings == null
                ? "discovery"
                : "kubernetes " + settings.api().authority() + " " + settings.namespace() + " " + settings.selector()
                        + " " + settings.port();
    }

    /**
     * Returns the farm known at startup: from the snapshot, else from the previous process, else from the
     * configuration.
     */
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
     * Calls back once discovery has first reported the farm, or has failed to. A change that was reported while no
     * process of this router ran must be known to this process from its start.
     *
     * @return false if discovery is not asked at once; the action is not called then
     */
    boolean whenFirstTold(Runnable action) {
        if (watch == null || config.settings().askedDiscovery()) {
            return false;
        }
        watch.whenFirstEnds(action);
        return true;
    }

    /** Returns whether the farm known at startup came from the previous process of this router. */
    boolean wasHanded() {
        return wasHanded;
    }

    /**
     * Returns the farm that the previous process knew, if newer than the list in the configuration; null otherwise.
     */
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

    /** Returns whether Kubernetes, and not discovery, reports the farm. */
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
                loop.log().line("handover", "the farm could not be stored for the next process of this router: " + e);
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
     * Moves to the address of the source in the changed files.
     *
     * @param changedSettings the changed settings of Kubernetes; null if they were removed
     * @return a description of the present source, for the log
     */
    String moveTo(NodeConfig changed, KubernetesSettings changedSettings) {
        if (kubernetes == null) {
            watch.moveTo(changed.discovery());
            return "discovery is at " + changed.discovery();
        }
        if (changedSettings == null) {
            return "the API stays at " + settings.api() + ": a restart is needed to stop using it";
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

    /** Writes a pending snapshot. */
    void close() {
        if (memory != null) {
            memory.close();
        }
    }
}
