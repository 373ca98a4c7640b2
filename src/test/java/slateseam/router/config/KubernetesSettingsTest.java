package slateseam.router.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.router.config.KubernetesSettings.Api;
import slateseam.router.config.KubernetesSettings.Guard;
import slateseam.router.config.KubernetesSettings.Origin;
import slateseam.router.config.KubernetesSettings.Reading;
import slateseam.router.config.NodeConfig.InvalidConfigException;

class KubernetesSettingsTest {
    private static final String TLS = "kubernetes_api https://[fd00::1]:6443;kubernetes_ca /ca;kubernetes_token /t";
    private static final String REST = "kubernetes_namespace shop;kubernetes_port resp";
    private static final String SERVICES = "kubernetes_service caches;kubernetes_origin_service store";

    @TempDir
    Path dir;

    private Features read(String text) throws Exception {
        Path file = Files.writeString(
                dir.resolve("s.conf"),
                text.replace("{TLS}", TLS)
                        .replace("{REST}", REST)
                        .replace("{SERVICES}", SERVICES)
                        .replace(";", "\n"));
        return Features.read(file, NodeConfig.parse(Files.readString(Path.of("examples/config.json"))));
    }

    @Test
    void whatIsNamedIsReadAndTheRestIsAsUsual() throws Exception {
        Features features = read("{TLS};{REST};{SERVICES};snapshot_folder /var/s;snapshot_oldest_s 60");
        assertThat(features.kubernetes())
                .isEqualTo(new KubernetesSettings(
                        new Api("fd00::1", 6443, Path.of("/ca"), Path.of("/t")),
                        "shop",
                        "kubernetes.io/service-name in (caches,store)",
                        "resp",
                        new Origin("store", null),
                        new Reading(Map.of(), Map.of(), null, null, null, false),
                        new Guard(0.4, 10_000_000_000L),
                        30,
                        50));
        assertThat(features.kubernetes().api()).hasToString("https://[fd00::1]:6443");
        assertThat(features.snapshot())
                .isEqualTo(new Features.Snapshot(Path.of("/var/s"), 1_000_000_000L, 60_000_000_000L));
        assertThat(features.descriptors()).isEqualTo(6);
        KubernetesSettings plain = read("kubernetes_api http://localhost;{REST};kubernetes_selector a=b, c in (d);"
                        + "kubernetes_origin 10.0.0.1:80;kubernetes_zones z-1=a;kubernetes_family ipv6;"
                        + "kubernetes_guard_percent 100")
                .kubernetes();
        assertThat(plain.api()).isEqualTo(new Api("localhost", 80, null, null));
        assertThat(plain.selector()).isEqualTo("a=b, c in (d)");
        assertThat(plain.origin().address()).isEqualTo(new InetSocketAddress("10.0.0.1", 80));
        assertThat(plain.reading()).isEqualTo(new Reading(Map.of("z-1", "a"), Map.of(), null, null, null, true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kubernetes_service caches|1: kubernetes_service is set, but kubernetes_api is not",
                "{TLS};{REST};kubernetes_service caches|1: kubernetes_api needs kubernetes_origin_service or kubernetes_origin",
                "{TLS};{REST};kubernetes_origin 10.0.0.1:80|1: kubernetes_api needs kubernetes_service or kubernetes_selector",
                "{TLS};kubernetes_port p;{SERVICES}|1: kubernetes_api needs kubernetes_namespace",
                "{TLS};kubernetes_namespace n;{SERVICES}|1: kubernetes_api needs kubernetes_port",
                "{TLS};{REST};{SERVICES};kubernetes_selector a=b|8: kubernetes_selector is set beside kubernetes_service",
                "{TLS};{REST};{SERVICES};kubernetes_origin 10.0.0.1:80|8: kubernetes_origin is set beside kubernetes_origin_s",
                "{TLS};{REST};kubernetes_service s;kubernetes_origin_service s|7: kubernetes_origin_service is kubernetes_s",
                "kubernetes_api https://h;kubernetes_token /t;{REST};{SERVICES}|1: kubernetes_api needs kubernetes_ca",
                "kubernetes_api https://h;kubernetes_ca /t;{REST};{SERVICES}|1: kubernetes_api needs kubernetes_token",
                "kubernetes_api http://127.0.0.1;kubernetes_ca /t;{REST};{SERVICES}|2: kubernetes_ca is set, but kuber",
                "kubernetes_api http://10.0.0.1;{REST};{SERVICES}|1: kubernetes_api is http://10.0.0.1: without TLS",
                "kubernetes_api https://h/path;{REST};{SERVICES}|1: kubernetes_api is https://h/path, not https://HOST:PORT",
                "kubernetes_api h:443;{REST};{SERVICES}|1: kubernetes_api is h:443, not https://HOST:PORT",
                "kubernetes_api https://h:70000;{REST};{SERVICES}|1: kubernetes_api is https://h:70000, not",
                "kubernetes_api https://h h;{REST};{SERVICES}|1: kubernetes_api is https://h h, no URL",
                "{TLS};{REST};kubernetes_service A|6: kubernetes_service is A, which no object of Kubernetes can be named",
                "{TLS};{REST};{SERVICES};kubernetes_zones z=nowhere|8: kubernetes_zones names the site nowhere, but",
                "{TLS};{REST};{SERVICES};kubernetes_nodes n|8: kubernetes_nodes is no list of NAME=SITE",
                "{TLS};{REST};{SERVICES};kubernetes_zones z=a,z=a|8: kubernetes_zones is no list of NAME=SITE",
                "{TLS};{REST};{SERVICES};kubernetes_guard_percent 0|8: kubernetes_guard_percent is 0, no",
                "{TLS};{REST};{SERVICES};kubernetes_watch_s 4|8: kubernetes_watch_s is 4, no",
                "{TLS};{REST};{SERVICES};kubernetes_page 1001|8: kubernetes_page is 1001, no",
                "{TLS};{REST};{SERVICES};kubernetes_family both|8: kubernetes_family is both, not one of ipv4, ipv6",
                "snapshot_every_ms 99|1: snapshot_every_ms is 99, no",
                "snapshot_folder a\u0000b|1: snapshot_folder is no path"
            })
    void aFaultIsOneLineThatNamesFileAndLine(String text, String fault) {
        assertThatThrownBy(() -> read(text))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith(dir.resolve("s.conf") + ":" + fault)
                .hasMessageNotContaining("\n");
    }
}
