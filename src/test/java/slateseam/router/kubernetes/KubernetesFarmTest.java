package slateseam.router.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.farm.Farm;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Server;
import slateseam.router.net.Clock;
import slateseam.standin.kubernetes.Informed;
import slateseam.standin.kubernetes.Script;
import slateseam.standin.kubernetes.Served;
import slateseam.standin.sockets.Certificates;

/** The source against the stand-in API server on real sockets. */
@Timeout(120)
class KubernetesFarmTest {
    @TempDir
    Path dir;

    private final Certificates authority = new Certificates("ours");

    private String[] files(Certificates ca, String token) throws Exception {
        return new String[] {
            "kubernetes_ca " + Files.writeString(dir.resolve("ca.pem"), ca.pem()),
            "kubernetes_token " + Files.writeString(dir.resolve("token"), token)
        };
    }

    private Followed follow(Served served, String... more) throws Exception {
        return new Followed(Followed.settings(dir, served.url(), more)).begin();
    }

    private static void awaitTruth(Followed followed, Served served) throws Exception {
        followed.rounds(() -> followed.servers().equals(Followed.servers(served.truth("caches"))));
    }

    @ParameterizedTest
    @CsvSource({"moves, false", "cuts, true", "gone, true", "losses, false"})
    void itEndsWithTheSameEndpointsAsAWellKnownClient(String script, boolean tls) throws Exception {
        try (Served served = new Served(tls ? authority.server("127.0.0.1") : null)) {
            Followed followed = tls ? follow(served, files(authority, "sesame")) : follow(served);
            String text = Files.readString(Path.of("src/test/resources/kubernetes", script + ".script"))
                    .replace("watches=1", "watches=2");
            CountDownLatch over = served.play(Script.read(text));
            String ca = tls ? authority.pem() : null;
            try (Informed informed = new Informed(served.url(), ca, "sesame", "shop", "caches")) {
                followed.rounds(() -> over.getCount() == 0);
                informed.awaitSame(() -> served.truth("caches"));
                // What the guard still keeps is let go in its time.
                followed.skip(20_000 * Clock.MILLI);
                awaitTruth(followed, served);
                assertThat(followed.log).noneMatch(line -> line.contains("internal-error"));
            }
        }
    }

    @Test
    void theOriginIsASecondServiceAndOneWatchTellsOfBoth() throws Exception {
        try (Served served = new Served(null)) {
            served.command(
                    "service caches port=resp:6379",
                    "pods a 2 service=caches",
                    "service store port=resp:80",
                    "pods o 1 service=store",
                    "service others port=resp:81",
                    "pods x 1 service=others");
            Path file = dir.resolve("s.conf");
            Followed.settings(dir, served.url());
            Files.writeString(
                    file,
                    Files.readString(file).replace("kubernetes_origin 127.0.0.1:1", "kubernetes_origin_service store"));
            Followed followed = new Followed(Followed.settings(file)).begin();
            followed.rounds(() -> followed.source.servers().size() == 3);
            served.command("pod o-1 unready");
            followed.rounds(() -> followed.source.servers().stream().anyMatch(s -> s.origin() && !s.ready()));
            assertThat(followed.servers()).hasSize(2);
            assertThat(served.net.call(served.server::watches)).isEqualTo(1);
        }
    }

    private static Member last(Followed followed, String pod) {
        Server server = followed.source.servers().stream()
                .filter(s -> s.pod().equals(pod))
                .findAny()
                .orElseThrow();
        Member last = null;
        for (MembersChanged change : followed.told) {
            for (Member member : change.members()) {
                last = member.id() == Farm.id(server.name()) ? member : last;
            }
        }
        return last;
    }

    /** Both a watch from where the snapshot stood and, where that is compacted, a list. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterARestartItServesFromWhatItKnewAndDropsWhatIsGone(boolean compacted) throws Exception {
        try (Served served = new Served(null)) {
            served.command("service caches port=resp:6379 per-slice=3", "pods a 9 service=caches");
            Followed before = follow(served);
            awaitTruth(before, served);
            Remembered remembered = before.source.remembered();
            served.command("pod a-1 terminating", "pod a-2 gone", "slice caches/2 recreate", "pod a-5 restart");
            if (compacted) {
                served.command("compact");
            }
            Followed after = new Followed(Followed.settings(dir, served.url())).restore(remembered);
            MembersChanged known = after.told.get(0);
            assertThat(known.kind()).isEqualTo(ListKind.CACHED);
            assertThat(known.members())
                    .as("the origin among them")
                    .hasSize(10)
                    .allMatch(member -> member.state() == MemberState.READY);
            after.begin();
            long lists = served.net.call(served.server::lists);
            awaitTruth(after, served);
            assertThat(last(after, "a-1").state()).isEqualTo(MemberState.DRAINING);
            assertThat(served.net.call(served.server::lists) - lists > 0)
                    .as("read a list")
                    .isEqualTo(compacted);
            // What the API did not tell as new is what it was: no server but the restarted one is cold.
            assertThat(last(after, "a-3").upSinceNanos()).isZero();
            assertThat(last(after, "a-5").upSinceNanos()).isPositive();
        }
    }

    @Test
    void whileTheApiIsDownForTenMinutesItGoesOnAndAsksSeldomer() throws Exception {
        try (Served served = new Served(null)) {
            served.command("service caches port=resp:6379 per-slice=3", "pods a 6 service=caches");
            Followed followed = follow(served);
            awaitTruth(followed, served);
            List<String> known = followed.servers();
            served.command(
                    "down",
                    "pod a-1 gone",
                    "pod a-2 restart",
                    "pods b 3 service=caches",
                    "repack caches per-slice=2",
                    "compact");
            followed.rounds(() -> followed.logged("kubernetes-unreachable"));
            int lines = followed.log.size();
            for (int second = 0; second < 600; second++) {
                followed.skip(1_000 * Clock.MILLI);
                for (int i = 0; i < 5; i++) {
                    followed.loop.round(Clock.MILLI);
                }
            }
            assertThat(followed.servers()).isEqualTo(known);
            assertThat(followed.log.size() - lines).as("a line a minute").isBetween(5, 25);
            served.command("up");
            followed.skip(BackOff.MOST_NANOS);
            awaitTruth(followed, served);
            assertThat(followed.logged("kubernetes-gone")).isTrue();
        }
    }

    @Test
    void tokenAndAuthorityAreReplacedUnderAnOpenWatch() throws Exception {
        try (Served served = new Served(authority.server("127.0.0.1"))) {
            served.command("service caches port=resp:6379", "pods a 3 service=caches", "tokens first");
            Followed followed = follow(served, files(authority, "first"));
            followed.rounds(() -> served.net.call(served.server::openWatches) == 1);
            // The open watch goes on; the next one shows the new token without having been refused.
            files(authority, "second");
            served.command("tokens second", "pod a-1 unready");
            awaitTruth(followed, served);
            served.command("end-watches", "pod a-2 unready");
            awaitTruth(followed, served);
            assertThat(followed.logged("unauthorized")).isFalse();
            // A certificate of another authority is refused, and the list stays; with its file it is followed again.
            Certificates other = new Certificates("theirs");
            served.net.tls("api", other.server("127.0.0.1"));
            served.command("cut all by=reset", "pod a-1 ready");
            followed.rounds(() -> followed.logged(
                    "kubernetes-tls: " + served.url() + ": its certificate comes from an unknown authority"));
            assertThat(followed.servers()).hasSize(3);
            files(other, "second");
            awaitTruth(followed, served);
            // So is one that has expired; a file without authorities is told of.
            served.net.tls("api", other.server("127.0.0.1", Instant.now().minusSeconds(1)));
            served.command("cut all by=reset");
            followed.rounds(() -> followed.logged("has expired"));
            Files.writeString(dir.resolve("ca.pem"), "");
            followed.rounds(() -> followed.logged("kubernetes-files"));
            assertThat(followed.servers()).hasSize(3);
        }
    }

    @Test
    void anApiThatMovesIsFollowedThoughItsVersionsAreLower() throws Exception {
        try (Served old = new Served(null);
                Served other = new Served(null)) {
            old.command(
                    "service caches port=resp:6379",
                    "pods a 3 service=caches",
                    "pod a-1 unready",
                    "pod a-1 ready",
                    "pod a-1 unready");
            other.command("service caches port=resp:6379", "pods a 2 service=caches");
            Followed followed = follow(old);
            awaitTruth(followed, old);
            followed.source.moveTo(Followed.settings(dir, other.url()));
            followed.rounds(() -> other.net.call(other.server::openWatches) == 1);
            followed.skip(20_000 * Clock.MILLI);
            awaitTruth(followed, other);
            other.command("pod a-2 terminating");
            awaitTruth(followed, other);
            assertThat(old.net.call(old.server::openWatches)).isZero();
        }
    }

    /** Counted, not timed: how much is read before the loop looks at its other sockets again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fiveThousandEndpointsAreReadInSmallSteps(boolean tls) throws Exception {
        try (Served served = new Served(tls ? authority.server("127.0.0.1") : null)) {
            served.command("service caches port=resp:6379 per-slice=100", "pods a 5000 service=caches");
            Followed followed = tls ? follow(served, files(authority, "t")) : follow(served);
            long longest = 0;
            long before = 0;
            while (followed.servers().size() < 5_000) {
                followed.loop.round(Clock.MILLI);
                longest = Math.max(longest, followed.source.bytesRead() - before);
                before = followed.source.bytesRead();
            }
            assertThat(before).isGreaterThan(1_000_000);
            assertThat(longest).isBetween(1_000L, 20L * 1_024);
            // A change costs what changed: one server is told, not five thousand.
            followed.told.clear();
            served.command("pod a-77 unready");
            followed.rounds(() -> !followed.told.isEmpty());
            assertThat(followed.told).hasSize(1);
            assertThat(followed.told.get(0).members()).hasSize(1);
        }
    }
}
