package slateseam.show;

import java.nio.file.Files;
import java.nio.file.Path;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.kubernetes.KubernetesFarm;
import slateseam.router.tls.RefusedException;

/** Looks at what a settings file names outside itself: a router would start without it, and say so in its log. */
public final class Check {
    private Check() {}

    /** @throws InvalidConfigException if something cannot be used as it is; the message says what */
    public static void files(Features features) throws InvalidConfigException {
        if (features.kubernetes() != null) {
            try {
                KubernetesFarm.check(features.kubernetes());
            } catch (RefusedException e) {
                throw new InvalidConfigException("kubernetes_api cannot be talked to: " + e.getMessage());
            }
        }
        if (features.snapshot() != null) {
            Path folder = features.snapshot().folder();
            if (!Files.isDirectory(folder) || !Files.isWritable(folder)) {
                throw new InvalidConfigException("snapshot_folder " + folder
                        + (Files.isDirectory(folder) ? " cannot be written" : " is no folder"));
            }
        }
    }
}
