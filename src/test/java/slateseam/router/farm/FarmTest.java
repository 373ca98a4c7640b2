package slateseam.router.farm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.json.JSONException;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.net.MalformedException;

class FarmTest {
    private final Farm farm = new Farm(List.of("a", "b"), List.of("box", "origin"), 1);

    private MembersChanged take(boolean whole, String... hosts) throws MalformedException {
        return farm.take(
                new JSONObject("{\"seq\":7,\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}"),
                false);
    }

    private static String host(String name, String dial, String kind, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"b\",\"class\":\"" + kind
                + "\",\"block\":3,\"health\":\"" + health + "\",\"share\":0.5,\"born_ms\":1700000000001}";
    }

    @Test
    void anIdDependsOnTheHostAlone() throws Exception {
        Member here =
                take(true, host("s1", "127.0.0.1:1", "box", "ready")).members().get(0);
        Member there = take(
                        true,
                        host("s0", "127.0.0.1:2", "box", "ready"),
                        host("s1", "127.9.0.1:3", "origin", "draining"))
                .members()
                .get(1);
        assertThat(there.id()).isEqualTo(here.id()).isEqualTo(Farm.id("s1")).isNotEqualTo(Farm.id("s0"));
    }

    @Test
    void namesAreMappedByTheirPlacesInTheSettings() throws Exception {
        Member member = take(true, host("o", "127.0.0.1:1", "origin", "ready"))
                .members()
                .get(0);
        assertThat(member)
                .isEqualTo(new Member(Farm.id("o"), 1, 1, 3, MemberState.READY, 0.5, 1_700_000_000_001_000_000L));
        assertThat(farm.entry(member.id()).isOrigin()).isTrue();
        assertThat(take(true, host("s", "127.0.0.1:1", "unheard", "ready"))
                        .members()
                        .get(0)
                        .kind())
                .isEqualTo(2);
    }

    @Test
    void changesAreLaidOverTheListAndWhatIsGoneLeavesIt() throws Exception {
        take(true, host("s1", "127.0.0.1:1", "box", "ready"), host("s2", "127.0.0.1:2", "box", "ready"));
        MembersChanged changed = take(false, "{\"host\":\"s1\",\"health\":\"gone\"}");
        assertThat(changed.kind()).isEqualTo(ListKind.DELTA);
        assertThat(farm.entry(Farm.id("s1"))).isNull();
        assertThat(farm.entry(Farm.id("s2")).isReady()).isTrue();
    }

    @Test
    void aListWithOneBadEntryIsNotTakenInPart() throws Exception {
        take(true, host("s1", "127.0.0.1:1", "box", "ready"));
        assertThatThrownBy(() -> take(
                        false, host("s1", "127.0.0.1:1", "box", "draining"), host("s2", "no address", "box", "ready")))
                .isInstanceOf(MalformedException.class);
        assertThat(farm.entry(Farm.id("s1")).isReady()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"share\":-1", "\"share\":1e300", "\"born_ms\":-5", "\"born_ms\":9223372036854775807"})
    void aListWithAnAbsurdNumberIsDroppedAndNamesTheServer(String number) throws Exception {
        take(true, host("s1", "127.0.0.1:1", "box", "ready"));
        String absurd =
                "{\"host\":\"s9\",\"dial\":\"127.0.0.1:9\",\"class\":\"box\",\"health\":\"ready\"," + number + "}";
        assertThatThrownBy(() -> take(true, absurd))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("s9");
        assertThat(farm.entry(Farm.id("s1")).isReady()).isTrue();
    }

    @Test
    void aListThatIsFarTooLongIsDropped() throws Exception {
        String[] hosts = new String[4_097];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = host("s" + i, "127.0.0.1:1", "box", "ready");
        }
        assertThatThrownBy(() -> take(true, hosts))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("4097");
        assertThat(take(true, Arrays.copyOf(hosts, 4_096)).members()).hasSize(4_096);
    }

    /** On a stack as small as the program's: an error there would end the loop, and with it the router. */
    @Test
    void aListThatIsNestedWithoutEndIsNoMoreThanMalformed() throws Exception {
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        new JSONObject("{\"hosts\":" + "[{\"a\":".repeat(200_000));
                    } catch (JSONException | StackOverflowError e) {
                        thrown.set(e);
                    }
                },
                "small",
                512 * 1024);
        thread.start();
        thread.join();
        assertThat(thrown.get()).isInstanceOf(JSONException.class);
    }
}
