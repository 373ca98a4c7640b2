package slateseam.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slateseam.router.net.HttpReply;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.standin.Spoil.Kind;

/** What the router's own parsers make of spoilt answers: one that is not good is never read as whole. */
class SpoilTest {
    private static final byte[] VALUE = new Archive(new ValueFigures(300, 0, 300), 1).value("k", 1, "i");

    private final Stage stage = new Stage();
    private final Spoiler spoiler = new Spoiler(stage, RandomSource.XO_SHI_RO_256_PP.create(5L), new Tallies());

    @ParameterizedTest
    @EnumSource(Kind.class)
    void overRespAnAnswerThatIsNotGoodIsRefusedOrNeverWhole(Kind kind) throws MalformedException {
        ByteBuffer in = ByteBuffer.wrap(spoiler.resp(kind, VALUE, "hit", null));
        if (kind.isGood()) {
            Resp.Value read = Resp.reply(in, 2);
            assertThat(read.items().get(0).bytes()).isEqualTo(ByteBuffer.wrap(VALUE));
            assertThat(read.items().get(2).type() == Resp.UNREADABLE).isEqualTo(kind == Kind.UNREADABLE_REPORT);
        } else {
            refusedOrNeverWhole(kind, () -> Resp.reply(in, 2));
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void overHttpAnAnswerThatIsNotGoodIsRefusedOrNeverWhole(Kind kind) throws MalformedException {
        for (boolean chunked : new boolean[] {false, true}) {
            ByteBuffer in = ByteBuffer.wrap(spoiler.http(kind, VALUE, null, chunked));
            if (kind.isGood()) {
                assertThat(HttpReply.read(in).body()).isEqualTo(VALUE);
                assertThat(in.hasRemaining()).isFalse();
            } else {
                refusedOrNeverWhole(kind, () -> HttpReply.read(in));
            }
        }
    }

    private static void refusedOrNeverWhole(Kind kind, Callable<?> read) {
        if (kind == Kind.LONG_LENGTH) {
            assertThat(read).returns(null, reader -> {
                try {
                    return reader.call();
                } catch (Exception e) {
                    return e;
                }
            });
        } else {
            assertThatThrownBy(read::call).isInstanceOf(MalformedException.class);
        }
    }

    /** Bytes behind an answer come with it or later, and neither before it nor in its place. */
    @ParameterizedTest
    @EnumSource(names = {"SECOND_COPY", "NOISE_BEHIND"})
    void bytesBehindAnAnswerComeWhenTheyAreToldTo(Kind kind) throws MalformedException {
        for (int delay : new int[] {0, 5}) {
            Archive archive = new Archive(ValueFigures.usual(), 1);
            ApplicationServer server = new ApplicationServer(
                    "s" + delay,
                    "s" + delay,
                    ServerFigures.large(),
                    WorkFigures.usual(),
                    stage.world,
                    RandomSource.XO_SHI_RO_256_PP.create(5L),
                    new Shared(archive, new Copies(archive), new Receipts(stage, 0)));
            server.start(false);
            server.prefill("k");
            server.spoil(new Spoil(kind, 1, delay * Stage.MILLI));
            Stage.Peer peer = stage.dial("s" + delay);
            peer.ask("CACHE.GET", "k", "i", "c=read");
            while (peer.got.size() == 0) {
                stage.pass(Stage.MILLI);
            }
            ByteBuffer in = ByteBuffer.wrap(peer.got.toByteArray());
            Resp.reply(in, 2);
            assertThat(in.hasRemaining()).isEqualTo(delay == 0);
            stage.pass(delay * Stage.MILLI);
            byte[] all = peer.got.toByteArray();
            assertThat(all.length).isEqualTo(in.position() + (kind == Kind.SECOND_COPY ? in.position() : 64));
            assertThat(new String(all, StandardCharsets.ISO_8859_1)).startsWith("*3\r\n$" + stage.made.get("i").length);
        }
    }
}
