package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;

/** The manifests must fit together, and give the router no more than it needs. */
class ManifestsTest {
    private static final Path FOLDER = Path.of("deploy/kubernetes");

    private static Map<?, ?> manifest(String name) throws IOException {
        return (Map<?, ?>) new Load(LoadSettings.builder().build())
                .loadFromString(Files.readString(FOLDER.resolve(name + ".yaml")));
    }

    /** What lies behind names and numbers of places. */
    private static Object at(Object from, Object... path) {
        Object found = from;
        for (Object step : path) {
            found = step instanceof Integer place ? ((List<?>) found).get(place) : ((Map<?, ?>) found).get(step);
            assertThat(found).as("%s", step).isNotNull();
        }
        return found;
    }

    @Test
    void theRoleLetsReadEndpointSlicesAndNothingElse() throws IOException {
        Map<?, ?> role = manifest("role");
        assertThat(role.get("kind")).isEqualTo("Role");
        assertThat(at(role, "rules"))
                .isEqualTo(List.of(Map.of(
                        "apiGroups",
                        List.of("discovery.k8s.io"),
                        "resources",
                        List.of("endpointslices"),
                        "verbs",
                        List.of("get", "list", "watch"))));
        Map<?, ?> binding = manifest("role-binding");
        assertThat(at(binding, "roleRef"))
                .isEqualTo(Map.of(
                        "apiGroup", "rbac.authorization.k8s.io", "kind", "Role", "name", at(role, "metadata", "name")));
        Map<?, ?> account = manifest("service-account");
        assertThat(at(binding, "subjects"))
                .isEqualTo(List.of(Map.of(
                        "kind",
                        "ServiceAccount",
                        "name",
                        at(account, "metadata", "name"),
                        "namespace",
                        at(account, "metadata", "namespace"))));
        assertThat(at(manifest("sidecar"), "spec", "template", "spec", "serviceAccountName"))
                .isEqualTo(at(account, "metadata", "name"));
    }

    @Test
    void theSidecarReadsItsFilesFromTheConfigMapAndMayWriteItsSnapshotsOnly(@TempDir Path dir) throws Exception {
        Map<?, ?> map = manifest("config-map");
        Object pod = at(manifest("sidecar"), "spec", "template", "spec");
        Object router = at(pod, "containers", 1);
        List<?> command = (List<?>) at(router, "command");
        assertThat(command.get(command.indexOf("--config") + 1)).isEqualTo("/etc/slateseam/router.json");
        assertThat(command.get(command.indexOf("--features") + 1)).isEqualTo("/etc/slateseam/slateseam.conf");
        NodeConfig config = NodeConfig.parse((String) at(map, "data", "router.json"));
        assertThat(config.listen().getAddress().isLoopbackAddress()).isTrue();

        Path file = Files.writeString(dir.resolve("s.conf"), (String) at(map, "data", "slateseam.conf"));
        Features features = Features.read(file, config);
        assertThat(features.kubernetes().namespace()).isEqualTo(at(map, "metadata", "namespace"));

        assertThat(at(router, "volumeMounts"))
                .isEqualTo(List.of(
                        Map.of("name", "files", "mountPath", "/etc/slateseam", "readOnly", true),
                        Map.of(
                                "name",
                                "known",
                                "mountPath",
                                features.snapshot().folder().toString())));
        assertThat(at(pod, "volumes", 0, "configMap", "name")).isEqualTo(at(map, "metadata", "name"));
        assertThat(at(router, "securityContext", "readOnlyRootFilesystem")).isEqualTo(true);
    }
}
