package slateseam.router.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.decision.Api.CacheMode;
import slateseam.router.config.NodeConfig.InvalidConfigException;

class NodeConfigTest {
    private static String example() throws Exception {
        return Files.readString(Path.of("examples/config.json"));
    }

    @Test
    void theExampleIsRead() throws Exception {
        NodeConfig config = NodeConfig.parse(example());
        assertThat(config.settings().mode()).isEqualTo(CacheMode.ASIDE);
        assertThat(config.settings().classes()).hasSize(3);
        assertThat(config.kinds()).containsExactly("box", "origin");
        assertThat(config.listen().getPort()).isEqualTo(6379);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"seed\": \"|\"seed\": \"zz|seed",
        "127.0.0.1:6379|localhost:6379|listen",
        "127.0.0.1:6379|127.0.0.1:66000|listen",
        "\"sockets\": 1024|\"sockets\": 8|limits.sockets",
        "\"effect\": \"pure\"|\"effect\": \"perhaps\"|effect",
        "\"replicas_of_me\": 1|\"replicas_of_me\": 2|peers",
        "\"known\"|\"unknown\"|known"})
    void aBadValueIsNamedInOneLine(String good, String bad, String named) throws Exception {
        String text = example();
        assertThat(text).contains(good);
        assertThatThrownBy(() -> NodeConfig.parse(text.replace(good, bad)))
                .isInstanceOf(InvalidConfigException.class).hasMessageContaining(named)
                .hasMessageNotContaining("\n");
    }

    @Test
    void nestedSettingsBecomeTheWiresPaths() {
        assertThat(NodeConfig.flat(new JSONObject("{\"a\":{\"b\":1.5},\"l\":[\"x\",\"y\"],\"o\":[{\"n\":true}],\"z\":null}")))
                .containsOnly(Map.entry("a.b", "1.5"), Map.entry("l", "x,y"),
                        Map.entry("o.count", "1"), Map.entry("o.0.n", "true"));
    }
}
