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
final class ConfiguredFarmSource implements FarmSource {
    /**
     * Mixed into the seed, so that the random waits between tries differ from the random numbers of the decision
     * module.
     */
    private static final long SEED_SALT = 0x6b38735f66726d31L;

    private final NodeConfig config;
    private final Farm farm;
    private final Executor background;
    /** Null if Kubernetes reports the farm. */
    private final Watch watch;
    /** Null if discovery reports the farm. */
    private final KubernetesFarm kubernetes;

    private KubernetesSettings settings;
    private boolean fromPreviousProcess;
    /** Null if no other process of this router ever runs. */
    private final Handover handover;

    private final Loop loop;
    /** Null if snapshots are off. */
    private final FarmSnapshots snapshots;

    /**
     * Creates the source that the settings select, without starting it.
     *
     * @param background runs blocking tasks outside the loop; null if no feature needs it
     * @param listener is called with each change of the farm
     */
    ConfiguredFarmSource(
            Loop loop,
            NodeConfig config,
            Features features,
            Farm farm,
            Handover handover,
            Executor background,
            Consumer<MembersChanged> listener) {
        this.config = config;
        this.loop = loop;
        this.handover = handover;
        this.farm = farm;
        this.background = background;
        settings = features.kubernetes();
        if (settings == null) {
            kubernetes = null;
            watch = new Watch(loop, config.discovery(), farm, config.seed() ^ SEED_SALT, changed -> {
                listener.accept(changed);
                store();
            });
        } else {
            watch = null;
            kubernetes = new KubernetesFarm(loop, background, settings, farm, config.seed() ^ SEED_SALT, listener);
            kubernetes.onChange(this::store);
        }
        snapshots = features.snapshot() == null
                ? null
                : new FarmSnapshots(loop, features.snapshot(), config.name(), source(), farm, kubernetes);
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
    MembersChanged initialMembers() throws MalformedException {
        MembersChanged restored =
                snapshots == null ? null : snapshots.restore(config.known().optLong("seq"));
        if (restored != null) {
            return restored;
        }
        MembersChanged previous = handover == null || kubernetes != null ? null : previousMembers();
        if (previous != null) {
            fromPreviousProcess = true;
            return previous;
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
    boolean whenFirstReported(Runnable action) {
        if (watch == null || config.settings().askedDiscovery()) {
            return false;
        }
        watch.whenFirstEnds(action);
        return true;
    }

    /** Returns whether the farm known at startup came from the previous process of this router. */
    boolean isFromPreviousProcess() {
        return fromPreviousProcess;
    }

    /**
     * Returns the farm that the previous process knew, if newer than the list in the configuration; null otherwise.
     */
    private MembersChanged previousMembers() {
        String handedOver = handover.farm();
        try {
            JSONObject list = handedOver == null ? null : new JSONObject(handedOver);
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

    private void store() {
        if (snapshots != null) {
            snapshots.scheduleWrite();
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
        boolean otherApi =
                !changedSettings.api().authority().equals(settings.api().authority());
        kubernetes.moveTo(changedSettings);
        settings = settings.at(changedSettings.api());
        if (otherApi && snapshots != null) {
            snapshots.reopen(source(), background);
        }
        return "the API is at " + settings.api();
    }

    /** Writes a pending snapshot. */
    void close() {
        if (snapshots != null) {
            snapshots.close();
        }
    }
}
