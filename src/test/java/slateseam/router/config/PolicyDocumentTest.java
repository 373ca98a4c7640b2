package slateseam.router.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import slateseam.router.config.NodeConfig.InvalidConfigException;

/** A document laid over a router's own file, and those that are turned down whole. */
class PolicyDocumentTest {
    private static NodeConfig over(String document) throws InvalidConfigException {
        return PolicyDocument.over(
                NodeConfig.read(Path.of("examples/config.json")), document.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatItNamesChangesAndAllElseStays() throws InvalidConfigException {
        NodeConfig changed = over("{\"settings\": {\"limits\": {\"try_limit\": 2}}}");
        assertThat(changed.settings().limits().attempts()).isEqualTo(2);
        assertThat(changed.settings().classes()).isEqualTo(over("").settings().classes());
        assertThat(over("").settings().limits().attempts()).isEqualTo(3);
    }

    @Test
    void whatCannotBeServedByNamesItsPlace() {
        String type =
                "{\"name\": \"read\", \"effect\": \"pure\", \"group\": \"all\", \"objective_ns\": 1, \"deadline_ns\": 1, \"value\": 1.0}";
        refused("{\"settings\": {\"profiles\": [" + type + ", " + type + "]}}", "class read stands twice");
        refused("{\"settings\": {\"limits\": {\"try_limit\": 0}}}", "settings.limits.try_limit is 0");
        refused("{\"settings\": {\"me\": 4}}", "settings.me cannot be changed without a restart");
        refused("{\"listen\": \"127.0.0.1:1\"}", "listen is no part of a policy");
        refused("{\"settings\": ", "");
        refused("[".repeat(10_000), "");
        refused(" ".repeat(PolicyDocument.MOST_BYTES) + "{", "the document has 65537 bytes, over 65536");
    }

    private static void refused(String document, String fault) {
        assertThatThrownBy(() -> over(document))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining(fault);
    }
}
