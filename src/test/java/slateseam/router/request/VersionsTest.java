package slateseam.router.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;
import slateseam.router.config.NodeConfig;

/** Guards the slots of request classes across reloads: no slot is reused while requests of its class are open. */
class VersionsTest {
    private final Settings start =
            NodeConfig.parse(Files.readString(Path.of("examples/config.json"))).settings();
    private final Versions versions = new Versions(start);

    VersionsTest() throws Exception {}

    private Version adopt(String... names) {
        List<RequestClass> classes = new ArrayList<>();
        for (String name : names) {
            RequestClass c = start.classes().get(0);
            classes.add(new RequestClass(
                    name,
                    c.aimNanos(),
                    c.deadlineNanos(),
                    c.worth(),
                    c.lateShare(),
                    c.effect(),
                    c.group(),
                    c.windowNanos(),
                    c.stream()));
        }
        return versions.adopt(new Settings(
                7, 9, 1, 1, true, start.mode(), 0, 0.5, classes, List.of(), start.limits(), start.rules()));
    }

    @Test
    void aSlotIsGivenAwayOnlyWhenItsClassWasDroppedAndItsLastRequestHasEnded() {
        assertThat(versions.names()).containsExactly("read", "put", "once");
        versions.requestStarted(1);
        assertThat(adopt("once", "read", "more").slots()).containsExactly(2, 0, 3);
        assertThat(versions.names()).as("put has a request").containsExactly("read", "put", "once", "more");
        versions.requestEnded(1);
        assertThat(adopt("further", "once", "read", "more").slots()).containsExactly(1, 2, 0, 3);
        assertThat(versions.names()).containsExactly("read", "further", "once", "more");
    }

    @Test
    void slotsDoNotGrowWithTheNumberOfFiles() {
        for (int i = 0; i < 1_000; i++) {
            adopt("read", "class" + i);
        }
        assertThat(versions.names()).hasSize(3);
    }

    /** The messages of the ring and the numbering of the farm depend on the routers and tenants. */
    @Test
    void whoTheRoutersAndTenantsAreStays() {
        Settings now = adopt("read").settings();
        assertThat(now.me()).isEqualTo(start.me());
        assertThat(now.routers()).isEqualTo(start.routers());
        assertThat(now.tenants()).isEqualTo(start.tenants());
        assertThat(now.zone()).isEqualTo(start.zone());
        assertThat(now.overShareWorth()).isEqualTo(0.5);
    }

    @Test
    void aRequestKeepsTheVersionThatItCameWith() {
        Version before = versions.current();
        adopt("read");
        assertThat(before.number("once")).isEqualTo(2);
        assertThat(versions.current().number("once")).isEqualTo(-1);
        assertThat(before.settings().classes()).hasSize(3);
    }
}
