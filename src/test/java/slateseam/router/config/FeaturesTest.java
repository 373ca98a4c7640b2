package slateseam.router.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.decision.SupplyLinks;
import slateseam.router.config.NodeConfig.InvalidConfigException;

class FeaturesTest {
    @TempDir
    Path dir;

    private Features read(String text, String was, String is) throws Exception {
        Path file = Files.writeString(dir.resolve("s.conf"), text.replace(";", "\n"));
        String config = Files.readString(Path.of("examples/config.json"));
        assertThat(config).contains(was);
        return Features.read(file, NodeConfig.parse(config.replace(was, is)));
    }

    private Features read(String text) throws Exception {
        return read(text, "", "");
    }

    @Test
    void whatIsNotSetIsOffOrHasItsUsualValue() throws Exception {
        assertThat(read("# nothing;")).isEqualTo(Features.OFF);
        assertThat(read("multiget_max_keys 5")).isEqualTo(Features.OFF);
        assertThat(read("\tmultiget_port\t7000 # beside ;#multiget_max_keys 1").multiGet())
                .isEqualTo(new Features.MultiGet(7000, 64));
        assertThat(read("figures on").figures())
                .isEqualTo(new Features.Figures(false, 10_000_000_000L, 786_432, null, null));
        Features sent = read("figures on;figures_file /var/f #1;figures_udp 127.0.0.1:8125;figures_format influx");
        assertThat(sent.figures())
                .isEqualTo(new Features.Figures(
                        true, 10_000_000_000L, 786_432, Path.of("/var/f"), new InetSocketAddress("127.0.0.1", 8125)));
        assertThat(sent.descriptors()).isEqualTo(2);
        assertThat(read("tap_port 7001;tap_max 3").tap()).isEqualTo(new Features.Tap(7001, 65_536, 3));
        assertThat(read("tier on;tier_places listed").tier())
                .isEqualTo(new Features.Tier("slateseam", 200_000_000L, 8, 3_600_000_000_000L, false, true));
        assertThat(read("tier_name other;tier_in_doubt rest")).isEqualTo(Features.OFF);
        assertThat(read("supply_links_ms 700")).isEqualTo(Features.OFF);
        assertThat(read("supply_links on").supplyLinks()).isEqualTo(new SupplyLinks(true, 500_000_000L));
        assertThat(read("hot_list off")).isEqualTo(Features.OFF);
        assertThat(read("hot_list on").hotList()).isEqualTo(new Features.HotList(512, 60_000_000_000L, 20));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "# first;multiget_prot 7000|2: there is no setting multiget_prot",
                "multiget_port 7000;;multiget_port 7000|3: multiget_port is set on line 1 already",
                "multiget_port|1: multiget_port has no value",
                "multiget_port 0|1: multiget_port is 0, no whole number from 1 to 65535",
                "multiget_port 65536|1: multiget_port is 65536, no",
                "multiget_port 7000 7001|1: multiget_port is 7000 7001, no",
                "multiget_port 6379|1: multiget_port is 6379, which clashes with the program's own address",
                "multiget_port 8500|1: multiget_port is 8500, which clashes with discovery",
                "hot_list yes|1: hot_list is yes, not one of off, on",
                "figures_format json|1: figures_format is json, not one of statsd, influx",
                "figures_flush_ms 99|1: figures_flush_ms is 99, no",
                "figures_stderr_max_kb 0|1: figures_stderr_max_kb is 0, no",
                "figures_file a\u0000b|1: figures_file is no path",
                "figures_udp localhost:8125|1: figures_udp is localhost:8125, no address and port",
                "figures_udp 127.0.0.1:0|1: figures_udp is 127.0.0.1:0, no address and port",
                "tap_port 7000;multiget_port 7000|1: tap_port is 7000, which clashes with multiget_port",
                "tap_buffer_kb 0|1: tap_buffer_kb is 0, no",
                "tap_max 1025|1: tap_max is 1025, no",
                "hot_slots 0|1: hot_slots is 0, no",
                "hot_window_s 1.5|1: hot_window_s is 1.5, no",
                "hot_show 1025|1: hot_show is 1025, no",
                "tier maybe|1: tier is maybe, not one of off, on",
                "tier on;tier_period_ms 49|2: tier_period_ms is 49, no",
                "tier on;tier_watchers 1025|2: tier_watchers is 1025, no",
                "tier on;tier_in_doubt die|2: tier_in_doubt is die, not one of keep, rest",
                "multiget_port 7000;multiget_max_keys 0|2: multiget_max_keys is 0",
                "multiget_port 7000;multiget_max_keys -1|2: multiget_max_keys is -1",
                "multiget_port 7000;multiget_max_keys 9999999999|2: multiget_max_keys is 9999999999"
            })
    void aFaultIsOneLineThatNamesFileAndLine(String text, String fault) {
        assertThatThrownBy(() -> read(text))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith(dir.resolve("s.conf") + ":" + fault)
                .hasMessageNotContaining("\n");
    }

    @Test
    void aTierNeedsPeersThatMayBeTalkedTo() {
        assertThatThrownBy(() -> read("# first;tier on", "\"peers\": true", "\"peers\": false"))
                .hasMessageEndingWith(":2: tier is on, but the configuration lets routers send each other nothing");
    }

    @Test
    void theDescriptorsComeOutOfTheSameLimit() throws Exception {
        assertThat(read("multiget_port 7000", "\"sockets\": 1024", "\"sockets\": 65")
                        .descriptors())
                .isEqualTo(1);
        assertThatThrownBy(() -> read("multiget_port 7000", "\"sockets\": 1024", "\"sockets\": 64"))
                .hasMessageContaining(":1: the features need 1 descriptors");
        assertThat(read("multiget_port 7000;tap_port 7001;tap_max 3").descriptors())
                .isEqualTo(8);
    }

    @Test
    void aFileThatCannotBeReadIsNamed() {
        assertThatThrownBy(
                        () -> Features.read(dir, NodeConfig.parse(Files.readString(Path.of("examples/config.json")))))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining(dir.toString());
    }
}
