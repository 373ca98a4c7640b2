package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateseam.standin.kubernetes.Served;
import slateseam.standin.sockets.Certificates;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(args, new PrintStream(out, true), new PrintStream(err, true));
    }

    @Test
    void anUnknownCommandOrOptionIsAUsageError() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("wirehost")).isEqualTo(2);
        assertThat(run("version", "more")).isEqualTo(2);
        assertThat(run("benchlink", "--config", "x")).isEqualTo(2);
        assertThat(err.toString()).contains("unknown command wirehost", "unexpected more");
    }

    @Test
    void aBadConfigurationIsOnePlainLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), "{\"name\":\n7}");
        assertThat(run("serve", "--config", file.toString())).isEqualTo(2);
        assertThat(err.toString()).startsWith("slateseam: bad configuration: ").containsOnlyOnce("\n");
    }

    @Test
    void aBadSettingsFileIsOnePlainLineThatNamesFileAndLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("slateseam.conf"), "# ours\nmultiget_port 6379\n");
        String fault = "slateseam: bad configuration: " + file + ":2: multiget_port is 6379, which clashes with "
                + "the program's own address" + System.lineSeparator();
        for (String command : new String[] {"serve", "check-config"}) {
            err.reset();
            assertThat(run(command, "--config", "examples/config.json", "--features", file.toString()))
                    .isEqualTo(2);
            assertThat(err.toString()).isEqualTo(fault);
        }
        assertThat(run("benchlink", "--features", file.toString())).isEqualTo(2);
    }

    @Test
    void theSettingsFilesThatComeWithTheProgramAreInOrder() {
        for (String file : new String[] {"deploy/slateseam.conf", "examples/slateseam.conf"}) {
            assertThat(run("check-config", "--config", "examples/config.json", "--features", file))
                    .isZero();
        }
    }

    private static Path settings(Path dir, String... more) throws Exception {
        List<String> lines = new ArrayList<>(List.of(
                "kubernetes_namespace shop",
                "kubernetes_service caches",
                "kubernetes_port resp",
                "kubernetes_origin 127.0.0.1:80",
                "kubernetes_zones z1=a"));
        lines.addAll(List.of(more));
        return Files.write(dir.resolve("s.conf"), lines);
    }

    @Test
    void whatCannotWorkIsRefusedBeforeItIsStarted(@TempDir Path dir) throws Exception {
        Path ca = Files.writeString(dir.resolve("ca"), "no certificate");
        Path token = dir.resolve("token");
        Path file = settings(
                dir,
                "kubernetes_api https://127.0.0.1",
                "kubernetes_ca " + ca,
                "kubernetes_token " + token,
                "snapshot_folder " + ca);
        String[] check = {"check-config", "--config", "examples/config.json", "--features", file.toString()};
        assertThat(run(check)).isEqualTo(2);
        assertThat(err.toString())
                .contains("bad configuration: kubernetes_api cannot be talked to: there is no file " + token);
        Files.writeString(token, " \n");
        assertThat(run(check)).isEqualTo(2);
        Files.writeString(token, "t");
        assertThat(run(check)).isEqualTo(2);
        Files.writeString(ca, new Certificates("ours").pem());
        assertThat(run(check)).isEqualTo(2);
        assertThat(err.toString())
                .contains(
                        "the token in " + token + " is empty",
                        "the file of authorities " + ca + " holds",
                        "snapshot_folder " + ca + " is no folder");
        Files.writeString(file, Files.readString(file).replace("snapshot_folder " + ca, "snapshot_folder " + dir));
        assertThat(run(check)).isZero();
    }

    @Test
    void theFarmIsShownByASavedListAndByALiveApi(@TempDir Path dir) throws Exception {
        Path list = Files.writeString(dir.resolve("list.json"), """
                {"kind": "List", "items": [{"metadata": {"name": "s", "uid": "u", "resourceVersion": "7"},
                "addressType": "IPv6", "ports": [{"name": "resp", "port": 6379}], "endpoints": [
                {"addresses": ["fd00::1"], "zone": "z1", "targetRef": {"uid": "p1", "name": "pod-1"}},
                {"addresses": ["fd00::2"], "conditions": {"ready": false, "terminating": true},
                "targetRef": {"uid": "p2", "name": "pod-2"}}]}]}""");
        Path file = settings(dir, "kubernetes_api http://127.0.0.1:1");
        String[] show = {
            "farm", "show", "--config", "examples/config.json", "--features", file.toString(), "--from", list.toString()
        };
        assertThat(run(show)).isZero();
        assertThat(out.toString().lines().map(line -> line.replaceAll(" +", " ")))
                .containsExactly(
                        "NAME ADDRESS STATE ZONE KIND WEIGHT SINCE",
                        "pod-1 [fd00::1]:6379 ready a - 1 long ago",
                        "pod-2 [fd00::2]:6379 draining (terminating) - - 1 long ago",
                        out.toString().lines().toList().get(3).replaceAll(" +", " "));
        assertThat(out.toString()).contains("127.0.0.1:80");
        Files.writeString(list, "{\"kind\": \"PodList\", \"items\": []}");
        assertThat(run(show)).isEqualTo(1);
        assertThat(err.toString()).contains("farm: " + list + ": this is no list of EndpointSlices");
        try (Served served = new Served(null)) {
            served.command("service caches port=resp:6379", "pods a 2 service=caches", "pod a-2 unready");
            Files.writeString(file, Files.readString(file).replace("http://127.0.0.1:1", served.url()));
            out.reset();
            assertThat(run("farm", "show", "--config", "examples/config.json", "--features", file.toString(), "--json"))
                    .isZero();
            assertThat(new JSONArray(out.toString()).getJSONObject(1).toMap())
                    .containsEntry("name", "a-2")
                    .containsEntry("state", "draining")
                    .containsEntry("why", "not ready");
        }
        assertThat(run("farm", "hide", "--config", "examples/config.json")).isEqualTo(2);
        assertThat(run("farm", "show", "--config", "examples/config.json", "--from", list.toString()))
                .isEqualTo(2);
    }

    /** The build keeps in an archive what this loads: each start would be slower without, and none would say why. */
    @Test
    void theRehearsalGoesThroughTheWholeService() {
        assertThat(run("rehearse", "--features", "deploy/slateseam.conf")).isZero();
        assertThat(err.toString())
                .contains(
                        "serving: at ",
                        "server-malformed",
                        "drained: ",
                        "resumed: ",
                        "reloaded: ",
                        "c:read,t:acme,out:hit",
                        "c:read,t:acme,out:miss",
                        "c:put,t:acme,out:written")
                .doesNotContain("rehearse: ", "internal-error");
    }

    @Test
    void versionPrintsALine() {
        assertThat(run("version")).isZero();
        assertThat(out.toString()).startsWith("slateseam ");
    }
}
