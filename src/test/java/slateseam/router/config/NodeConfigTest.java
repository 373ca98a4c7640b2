package slateseam.router.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
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
    @CsvSource(
            delimiter = '|',
            value = {
                "\"seed\": \"|\"seed\": \"zz|seed",
                "127.0.0.1:6379|localhost:6379|listen",
                "127.0.0.1:6379|127.0.0.1:66000|listen",
                "\"sockets\": 1024|\"sockets\": 8|limits.sockets",
                "\"effect\": \"pure\"|\"effect\": \"perhaps\"|effect",
                "\"replicas_of_me\": 1|\"replicas_of_me\": 2|peers",
                "\"known\"|\"unknown\"|known"
            })
    void aBadValueIsNamedInOneLine(String good, String bad, String named) throws Exception {
        String text = example();
        assertThat(text).contains(good);
        assertThatThrownBy(() -> NodeConfig.parse(text.replace(good, bad)))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining(named)
                .hasMessageNotContaining("\n");
    }

    @Test
    void nestedSettingsBecomeTheWiresPaths() {
        assertThat(NodeConfig.flat(
                        new JSONObject("{\"a\":{\"b\":1.5},\"l\":[\"x\",\"y\"],\"o\":[{\"n\":true}],\"z\":null}")))
                .containsOnly(
                        Map.entry("a.b", "1.5"),
                        Map.entry("l", "x,y"),
                        Map.entry("o.count", "1"),
                        Map.entry("o.0.n", "true"));
    }

    private static JSONObject parent(JSONObject whole, String path) {
        Object at = whole;
        String[] steps = path.split("/");
        for (int i = 0; i < steps.length - 1; i++) {
            at = at instanceof JSONArray list ? list.get(Integer.parseInt(steps[i])) : ((JSONObject) at).get(steps[i]);
        }
        return (JSONObject) at;
    }

    private static void leaves(Object at, String path, List<String> found) {
        if (at instanceof JSONObject object) {
            for (String key : object.keySet()) {
                found.add(path + key);
                leaves(object.get(key), path + key + "/", found);
            }
        } else if (at instanceof JSONArray list) {
            for (int i = 0; i < list.length(); i++) {
                leaves(list.get(i), path + i + "/", found);
            }
        }
    }

    /** Each key of the settings in use, removed or of another type, in turn; then the file cut off anywhere. */
    @Test
    void aFileThatIsReadAgainIsTakenWholeOrNotAtAll(@TempDir Path dir) throws Exception {
        NodeConfig used = NodeConfig.parse(example());
        Path file = dir.resolve("node.json");
        assertThat(used.reread(Files.writeString(file, example())).settings()).isEqualTo(used.settings());
        List<String> keys = new ArrayList<>();
        JSONObject whole = new JSONObject(example());
        leaves(whole.get("settings"), "settings/", keys);
        leaves(whole.get("limits"), "limits/", keys);
        assertThat(keys).contains("settings/limits/try_limit", "settings/profiles/1/effect");
        for (String key : keys) {
            String last = key.substring(key.lastIndexOf('/') + 1);
            for (Object bad : new Object[] {null, new JSONArray(), "soon"}) {
                JSONObject broken = new JSONObject(example());
                Object was = parent(broken, key).get(last);
                // What only some classes have may be left out; a text may be another one.
                if (bad == null && last.equals("window_ns")
                        || bad instanceof String && was instanceof String
                        || bad instanceof JSONArray && was instanceof JSONArray && ((JSONArray) was).isEmpty()) {
                    continue;
                }
                parent(broken, key).put(last, bad);
                Files.writeString(file, broken.toString());
                assertThatThrownBy(() -> used.reread(file))
                        .as(key + " = " + bad)
                        .isInstanceOf(InvalidConfigException.class)
                        .hasMessageNotContaining("\n");
            }
        }
        String text = example().trim();
        for (int length = 0; length < text.length(); length++) {
            Files.writeString(file, text.substring(0, length));
            assertThatThrownBy(() -> used.reread(file))
                    .as("cut off after " + length)
                    .isInstanceOf(InvalidConfigException.class);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"deadline_ns\": 1500000000|\"deadline_ns\": 0|class read has a deadline",
                "\"deadline_ns\": 1500000000|\"deadline_ns\": -5|class read has a deadline",
                "\"objective_ns\": 500000000|\"objective_ns\": 0|class read has a deadline or an aim",
                "\"try_limit\": 3|\"try_limit\": 0|try_limit is 0",
                "\"try_limit\": 3|\"try_limit\": -1|try_limit is -1",
                "\"name\": \"put\"|\"name\": \"read\"|class read stands twice",
                "\"name\": \"put\"|\"name\": \"\"|has no name"
            })
    void settingsThatCouldServeNobodyAreNamed(String good, String bad, String named) throws Exception {
        String text = example();
        assertThat(text).contains(good);
        assertThatThrownBy(() -> NodeConfig.parse(text.replace(good, bad)))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining(named);
    }
}
