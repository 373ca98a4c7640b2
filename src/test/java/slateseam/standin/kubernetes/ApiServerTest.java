package slateseam.standin.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;
import static slateseam.standin.kubernetes.Asker.SLICES;
import static slateseam.standin.kubernetes.Asker.meta;
import static slateseam.standin.kubernetes.Asker.names;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.Stage;

class ApiServerTest {
    private static final String WATCH = SLICES + "?watch=1&allowWatchBookmarks=true&resourceVersion=";

    private final Stage stage = new Stage();
    private final Cluster cluster = new Cluster("shop", stage, 50);
    private final ApiServer server = new ApiServer("api", ApiFigures.USUAL, stage.world, cluster);
    private Asker asker;

    /** Seven pods in slices of two: 1 to 4, by the number that scripts give them; and one slice of another service. */
    @BeforeEach
    void fill() throws Exception {
        play(
                "service caches port=resp:6379 per-slice=2 annotation=note:größe",
                "pods a 7 service=caches",
                "service others",
                "pods x 1 service=others");
        asker = new Asker(stage);
    }

    private void play(String... commands) {
        for (String command : commands) {
            Words words = new Words(command);
            String verb = words.next("command");
            Command read = ClusterCommands.read(verb, words);
            (read == null ? ApiCommands.read(verb, words) : read).run(server);
            words.end();
        }
        stage.pass(2 * MILLI);
    }

    private String name(int slice) {
        return cluster.packing("caches").names().get(slice - 1);
    }

    private JSONObject list(String query) {
        return asker.answer(SLICES + query);
    }

    @Test
    void pagesShowOneStateUntilItIsCompacted() {
        String all = names(list(""));
        assertThat(all.split(" ")).hasSize(5).isSorted();
        JSONObject first = list("?limit=2");
        assertThat(meta(first).getInt("remainingItemCount")).isEqualTo(3);
        play("pods b 2 service=caches", "slice caches/2 recreate", "repack caches");
        JSONObject second = list("?limit=2&continue=" + meta(first).getString("continue"));
        JSONObject third = list("?limit=2&continue=" + meta(second).getString("continue"));
        assertThat(names(first) + ' ' + names(second) + ' ' + names(third)).isEqualTo(all);
        assertThat(meta(third).getString("resourceVersion"))
                .isEqualTo(meta(first).getString("resourceVersion"));
        assertThat(meta(third).has("continue")).isFalse();
        String version = meta(first).getString("resourceVersion");
        assertThat(names(list("?resourceVersionMatch=Exact&resourceVersion=" + version)))
                .isEqualTo(all);
        assertThat(names(list("?resourceVersion=0&limit=1")).split(" "))
                .as("an old server's cache has no pages")
                .hasSize(2);
        play("compact");
        JSONObject gone = list("?limit=2&continue=" + meta(second).getString("continue"));
        assertThat(gone.getInt("http")).isEqualTo(410);
        assertThat(gone.getString("reason")).isEqualTo("Expired");
        assertThat(names(list("?limit=9&continue=" + meta(gone).getString("continue")))
                        .split(" "))
                .as("goes on behind the last name, in today's state")
                .containsExactly(Stream.of(names(list("")).split(" "))
                        .filter(name -> name.compareTo(all.split(" ")[3]) > 0)
                        .toArray(String[]::new));
        assertThat(list("?resourceVersionMatch=Exact&resourceVersion=" + version)
                        .getInt("http"))
                .isEqualTo(410);
    }

    @Test
    void selectorsChooseAndAWatchTellsWhatTheyBeginAndCeaseToMatch() {
        assertThat(names(list("?labelSelector=kubernetes.io%2Fservice-name%3Dothers"))
                        .split(" "))
                .hasSize(1);
        assertThat(names(list("?labelSelector=kubernetes.io%2Fservice-name+notin(others,+more)"))
                        .split(" "))
                .hasSize(4);
        assertThat(names(list("?fieldSelector=metadata.name%3D" + name(2)))).isEqualTo(name(2));
        assertThat(list("?fieldSelector=spec.x%3D1").getInt("http")).isEqualTo(400);
        assertThat(names(asker.answer(SLICES.replace("shop", "else")))).isEmpty();
        asker.ask(WATCH + server.version() + "&labelSelector=tier%3Dgold");
        play(
                "slice caches/1 label key=tier value=gold",
                "pod a-1 unready",
                "pod a-3 unready",
                "slice caches/1 label key=tier",
                "pod a-2 unready");
        assertThat(asker.events())
                .satisfiesExactly(
                        event -> assertThat(event).startsWith("ADDED " + name(1)),
                        event -> assertThat(event).startsWith("MODIFIED " + name(1)),
                        event -> assertThat(event).startsWith("DELETED " + name(1)));
    }

    @Test
    void aWatchBeginsBehindItsVersionBookmarksAndEndsByItself() {
        long before = server.version();
        play("pod a-1 unready", "slice caches/4 recreate");
        asker.ask(WATCH + before + "&timeoutSeconds=90");
        assertThat(asker.events())
                .containsExactly(
                        "MODIFIED " + name(1) + ' ' + (before + 2),
                        "DELETED " + name(4) + ' ' + (before + 3),
                        "ADDED " + name(4) + ' ' + (before + 4));
        stage.pass(60 * SECOND);
        assertThat(asker.events()).containsExactly("BOOKMARK - " + (before + 4));
        play("bookmark back=3");
        assertThat(asker.events()).containsExactly("BOOKMARK - " + (before + 1));
        stage.pass(30 * SECOND);
        assertThat(asker.raw()).isEqualTo("0\r\n\r\n");
        assertThat(list("").getInt("http")).as("the connection is kept").isEqualTo(200);
        asker.ask(SLICES + "?watch=true");
        assertThat(asker.events())
                .as("without a version it tells all there is first")
                .hasSize(5)
                .allMatch(event -> event.startsWith("ADDED"));
    }

    @Test
    void whatIsCompactedIsGoneAsAnEventOrAnAnswer() {
        long before = server.version();
        asker.ask(WATCH + before);
        for (int i = 0; i < 51; i++) {
            play("pod a-1 unready");
        }
        assertThat(asker.events()).as("an open watch goes on").hasSize(51);
        Asker late = new Asker(stage);
        late.ask(WATCH + before);
        assertThat(late.events()).containsExactly("ERROR 410");
        play("gone answer");
        late = new Asker(stage);
        assertThat(late.answer(WATCH + before).getInt("http")).isEqualTo(410);
        play("expire");
        assertThat(asker.events()).containsExactly("ERROR 410");
        assertThat(server.openWatches()).isZero();
    }

    @Test
    void whoMayNotIsToldWhyAndARotatedTokenLetsAWatchGoOn() {
        String old = "Authorization: Bearer old\r\n";
        play("tokens old");
        assertThat(list("").getInt("http")).as("no token at all").isEqualTo(403);
        Asker watching = new Asker(stage);
        watching.ask(WATCH + server.version(), old);
        play("tokens new", "pod a-1 unready");
        assertThat(watching.events()).hasSize(1);
        JSONObject refused = asker.answer(SLICES, old);
        assertThat(refused.getInt("http")).isEqualTo(401);
        assertThat(refused.getString("kind") + refused.getString("reason")).isEqualTo("StatusUnauthorized");
        assertThat(asker.answer(SLICES, "Authorization: Bearer new\r\n").getInt("http"))
                .isEqualTo(200);
        play("tokens", "answer 429 times=1 retry=3");
        JSONObject later = list("");
        assertThat(later.getInt("http")).isEqualTo(429);
        assertThat(later.getString("head")).contains("\r\nRetry-After: 3\r\n");
        assertThat(list("?watch=1&sendInitialEvents=true&resourceVersionMatch=NotOlderThan")
                        .getInt("http"))
                .isEqualTo(422);
        play("forbid yes");
        assertThat(list("").getString("message")).contains("cannot list resource \"endpointslices\"");
    }

    /** Each place is shown by the last byte that came. */
    @ParameterizedTest
    @CsvSource({"object, true", "head, false", "letter, false"})
    void aWatchIsCutOffWhereItIsAskedFor(String where, boolean byReset) {
        asker.ask(WATCH + server.version());
        asker.raw();
        play("cut watch at=" + where + (byReset ? " by=reset" : ""), "pod a-1 unready");
        String told = asker.raw();
        switch (where) {
            case "object" -> assertThat(told).contains("{\"type\":\"MODIFIED\"").doesNotContain("}\n");
            case "head" -> assertThat(told).hasSize(1);
            default ->
                assertThat(told.getBytes(StandardCharsets.ISO_8859_1))
                        .endsWith(0xc3)
                        .startsWith(told.substring(0, 5).getBytes(StandardCharsets.ISO_8859_1));
        }
        assertThat(asker.peer.broken).isEqualTo(byReset);
        assertThat(asker.peer.ended).isEqualTo(!byReset);
        assertThat(server.openWatches()).isZero();
    }

    @Test
    void changesAreToldTwiceSwappedOrLateButThoseOfOneObjectInTheirOrder() {
        long at = server.version();
        asker.ask(WATCH + at);
        play("duplicate 1", "pod a-1 unready");
        assertThat(asker.events()).hasSize(2).containsOnly("MODIFIED " + name(1) + ' ' + (at + 2));
        play("swap 1", "pod a-1 ready", "bookmark", "pod a-3 unready");
        assertThat(asker.events())
                .as("a bookmark does not pass what was not told")
                .containsExactly(
                        "BOOKMARK - " + (at + 3),
                        "MODIFIED " + name(2) + ' ' + (at + 6),
                        "MODIFIED " + name(1) + ' ' + (at + 4));
        play("swap 1", "pod a-3 ready", "pod a-3 gone");
        assertThat(asker.events())
                .containsExactly("MODIFIED " + name(2) + ' ' + (at + 8), "MODIFIED " + name(2) + ' ' + (at + 10));
        play("swap 1", "pod a-1 unready");
        assertThat(asker.events()).isEmpty();
        stage.pass(SECOND);
        assertThat(asker.events()).as("nothing came to swap it with").hasSize(1);
        play("late 50ms", "pod a-1 ready", "late 0ms", "pod a-4 unready");
        assertThat(asker.events()).isEmpty();
        Asker other = new Asker(stage);
        other.ask(WATCH + (at + 12));
        stage.pass(60 * MILLI);
        assertThat(other.events()).as("told at its start, and not again").hasSize(2);
        assertThat(asker.events())
                .containsExactly("MODIFIED " + name(1) + ' ' + (at + 14), "MODIFIED " + name(2) + ' ' + (at + 16));
    }

    @Test
    void aStalledConnectionIsOpenAndSilentAndChunksCutEventsAnywhere() {
        asker.ask(WATCH + server.version());
        asker.raw();
        play("chunks 5", "stall yes", "pod a-1 unready", "garbage json");
        assertThat(asker.raw()).isEmpty();
        assertThat(new Asker(stage).answer(SLICES).getInt("http"))
                .as("new connections are served")
                .isEqualTo(200);
        play("stall no");
        String told = asker.raw();
        assertThat(told).startsWith("5\r\n{\"typ\r\n5\r\ne\":\"M\r\n").endsWith("}\n\r\n");
        play("garbage chunk");
        assertThat(asker.raw()).isEqualTo("xyz\r\n\r\n");
        assertThat(asker.peer.ended || asker.peer.broken).isFalse();
    }

    @Test
    void aServerThatIsDownRefusesAndOneThatIsSilentAnswersLater() {
        play("silence yes");
        asker.ask(SLICES);
        assertThat(asker.raw()).isEmpty();
        play("silence no");
        assertThat(asker.raw()).startsWith("HTTP/1.1 200 OK");
        play("cut list after=300");
        asker.ask(SLICES);
        assertThat(asker.raw()).hasSize(300);
        Asker other = new Asker(stage);
        play("down");
        assertThat(other.peer.broken).isTrue();
        assertThat(stage.dial("api").broken).isTrue();
        play("up", "blank yes");
        assertThat(names(new Asker(stage).answer(SLICES))).isEmpty();
        assertThat(cluster.truth("caches")).hasSize(7);
    }

    @Test
    void itTellsOfItselfWhatClientsAskForAtTheirStart() {
        String group = "/apis/discovery.k8s.io";
        for (String path : List.of("/version", "/api", "/apis", group, group + "/v1")) {
            assertThat(asker.answer(path).getInt("http")).isEqualTo(200);
        }
        assertThat(asker.answer("/apis/apps/v1").getInt("http")).isEqualTo(404);
        assertThat(asker.answer(SLICES + '/' + name(1)).getString("kind")).isEqualTo("EndpointSlice");
        assertThat(asker.answer(SLICES + "/none").getString("reason")).isEqualTo("NotFound");
    }
}
