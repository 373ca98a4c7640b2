package slateseam.wire;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;
import slateseam.router.config.SettingsParser;
import slateseam.router.config.SettingsParser.InvalidSettingException;
import slateseam.wire.Frames.MalformedFrameException;

class WireTest {
    private static final String SETTINGS = String.join(
            "\n",
            "me=0",
            "replicas_of_me=2",
            "discovery=ask",
            "family_info.mode=aside",
            "family_info.origin_kind=1",
            "profiles.count=1",
            "profiles.0.deadline_ns=1000000000",
            "profiles.0.objective_ns=500000000",
            "profiles.0.effect=pure",
            "profiles.0.name=read",
            "limits.try_limit=4",
            "limits.peers=true",
            "rules.drain_grace_ns=500000000",
            "accounts.count=1",
            "accounts.0.quota_per_s=12.5",
            "unheard.of=1");

    /** Keeps what a reader hands over. */
    private static final class Kept implements Frames.BatchHandler {
        final List<Object> all = new ArrayList<>();

        @Override
        public void launch(int instance, long seed, String settings) {
            all.add("launch " + instance);
        }

        @Override
        public void retire(int instance) {
            all.add("retire " + instance);
        }

        @Override
        public boolean isLaunched(int instance) {
            return true;
        }

        @Override
        public void event(int instance, Event event) {
            all.add(event);
        }
    }

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static List<Object> decode(String hex) throws Exception {
        Frames.Reader reader = new Frames.Reader(new ByteArrayInputStream(hex(hex)));
        assertTrue(reader.next());
        Kept kept = new Kept();
        reader.decode(kept);
        assertFalse(reader.next());
        return kept.all;
    }

    private static String batch(int records, String body) {
        ByteBuffer head = ByteBuffer.allocate(16).order(ByteOrder.LITTLE_ENDIAN);
        head.putInt(hex(body).length).putLong(5_000_000_000L).putInt(records);
        return HexFormat.of().formatHex(head.array()) + body;
    }

    @Test
    void goldenBatchOfTwoInstances() throws Exception {
        List<Object> all = decode("""
                3f000000 90bf68f501000000 05000000 1b0300
                12 c4913a5d8e570a00 640ad2557c3bf091 0000 001bb70000000000 0000 0100 001c4e0e00000000 00000000
                16 4d000000 1b0500 15 192b6f0e67080300""");
        assertEquals(
                List.of(
                        new RequestArrived(
                                0xa578e5d3a91c4L, 0x91f03b7c55d20a64L, 0, 0, false, false, 12_000_000L, 240_000_000L),
                        new TimerFired(77),
                        new ClientGone(0x308670e6f2b19L)),
                all);
    }

    @Test
    void goldenListAndItsNews() throws Exception {
        List<Object> all = decode(batch(
                3,
                ("1b0300 1a 00 02000000"
                                + "074a1203 0000 0000 0000 01 0000803f 0000000000000000"
                                + "f211902c 0100 0000 0000 01 0000c03f 009d966b01000000 11 02 00 2900000000000000")
                        .replace(" ", "")));
        assertEquals(
                List.of(new MembersChanged(
                        ListKind.CACHED,
                        List.of(
                                new Member(0x03124a07L, 0, 0, 0, MemberState.READY, 1, 0),
                                new Member(0x2c9011f2L, 1, 0, 0, MemberState.READY, 1.5, 6_100_000_000L)))),
                all);
    }

    @Test
    void goldenOutcomesProbesAndNotes() throws Exception {
        List<Object> all = decode(batch(
                5,
                ("1b0300"
                                + "14 c4913a5d8e570a00 0000 a0491a0100000000 00 074a1203 00 01 00"
                                + "13 c4913a5d8e570a00 074a1203 d0248d0000000000 00"
                                + "17 f211902c c05c150000000000 0000 00"
                                + "18 02000000 0400 68692037")
                        .replace(" ", "")));
        assertEquals(
                new AttemptEnded(0xa578e5d3a91c4L, 0x03124a07L, 0, Outcome.OK, false, true, 18_500_000L), all.get(0));
        assertEquals(new StreamEstablished(0xa578e5d3a91c4L, 0x03124a07L, 0), all.get(1));
        assertEquals(new ProbeEnded(0x2c9011f2L, Outcome.OK, 1_400_000L), all.get(2));
        PeerMessage note = (PeerMessage) all.get(3);
        assertEquals(2, note.from());
        assertEquals("hi 7", new String(note.payload(), StandardCharsets.UTF_8));
    }

    @Test
    void goldenReply() {
        Frames.Writer writer = new Frames.Writer();
        writer.action(3, new Send(0xa578e5d3a91c4L, 0x03124a07L, 80_000_000L, Send.ANY_TIME));
        writer.action(3, new SetTimer(77, 500_000_000L));
        writer.action(5, new Log("two servers known"));
        assertArrayEquals(hex("""
                3c000000 05000000 100300 1c c4913a5d8e570a00 074a1203 00b4c40400000000
                19 4d000000 0065cd1d00000000 100500 1b 1100 74776f2073657276657273206b6e6f776e"""), writer.finish());
        assertArrayEquals(hex("0000000000000000"), writer.finish());
    }

    @Test
    void goldenActions() {
        Frames.Writer w = new Frames.Writer();
        w.action(3, new Cancel(0xa578e5d3a91c4L, 0));
        w.action(3, new Refuse(0x308670e6f2b19L, 250_000_000L));
        w.action(3, new Fail(0x308670e6f2b19L));
        w.action(3, new Probe(0x2c9011f2L));
        w.action(3, new CloseIdle(0x2c9011f2L));
        w.action(3, new TellPeer(-1, "hi 7".getBytes(StandardCharsets.UTF_8)));
        w.action(3, new Subscribe());
        w.crash(3, "index out of range");
        byte[] frame = w.finish();
        assertArrayEquals(hex("""
                100300 15 c4913a5d8e570a00 00 17 192b6f0e67080300 80b2e60e00000000 13 192b6f0e67080300 16 f211902c
                14 f211902c 18 ffffffff 0400 68692037 12 01 11 1200 696e646578206f7574206f662072616e6765"""), java.util.Arrays.copyOfRange(frame, 8, frame.length));
        assertEquals(9, frame[4]);
    }

    private static String complaint(String hex) {
        return assertThrows(MalformedFrameException.class, () -> serve(hex(hex)))
                .getMessage();
    }

    private static byte[] serve(byte[] input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost().serve(new ByteArrayInputStream(input), out);
        return out.toByteArray();
    }

    @Test
    void malformedInputIsNamedByRecordAndOffset() {
        assertTrue(complaint("00000000").contains("truncated header"));
        assertTrue(complaint("ffffffff 90bf68f501000000 05000000 1b".replace(" ", ""))
                .contains("truncated frame"));
        assertTrue(complaint(batch(1, "1b03")).contains("record 0 at offset 16"));
        assertTrue(complaint(batch(1, "63")).contains("never")
                || complaint(batch(1, "63")).contains("no instance"));
        assertTrue(
                complaint(batch(2, "1b0300" + "15192b6f0e67080300")).contains("instance 3 never launched in record 1"));
        assertTrue(complaint(batch(1, "1b03001b0300")).contains("left-over"));
        assertTrue(complaint(batch(1, "1a00ffffffff")).contains("truncated list"));
        assertTrue(complaint(launched(1, "63")).contains("unknown code 99"));
        assertTrue(complaint(launched(1, "1102050000000000000000")).contains("unknown list number 5"));
    }

    private static String launched(int more, String body) {
        byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(3 + 13 + settings.length).order(ByteOrder.LITTLE_ENDIAN);
        b.put((byte) 27)
                .putShort((short) 3)
                .put((byte) 16)
                .putLong(9)
                .putInt(settings.length)
                .put(settings);
        return batch(2 + more, HexFormat.of().formatHex(b.array()) + body);
    }

    @Test
    void endOfInputAtAFrameBoundaryIsFine() throws Exception {
        assertEquals(0, serve(new byte[0]).length);
        assertArrayEquals(new byte[8], serve(hex("00000000 90bf68f501000000 00000000")));
    }

    @Test
    void launchAndRetireMayRepeatInABatch() throws Exception {
        String once = launched(1, "19").substring(32);
        byte[] reply = serve(hex(batch(6, once + once)));
        assertTrue(reply.length > 8);
    }

    @Test
    void anUnreadableSettingCrashesOnlyItsInstance() throws Exception {
        byte[] bad = "me=0\nreplicas_of_me=two".getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(3 + 13 + bad.length).order(ByteOrder.LITTLE_ENDIAN);
        b.put((byte) 27)
                .putShort((short) 4)
                .put((byte) 16)
                .putLong(9)
                .putInt(bad.length)
                .put(bad);
        byte[] reply = serve(hex(
                batch(4, HexFormat.of().formatHex(b.array()) + launched(0, "").substring(32))));
        String text = new String(reply, StandardCharsets.ISO_8859_1);
        assertTrue(text.contains("setting replicas_of_me=two cannot be read"));
        assertTrue(text.indexOf('\u0019', text.indexOf("be read")) > 0, "the other one set its timer");
    }

    @Test
    void aDecisionThatThrowsBecomesACrash() throws Exception {
        String request = "12" + "0100000000000000" + "0500000000000000" + "0000" + "0000000000000000" + "0900" + "0000"
                + "001c4e0e00000000" + "00000000";
        String text = new String(serve(hex(launched(1, request))), StandardCharsets.ISO_8859_1);
        assertTrue(text.contains("IndexOutOfBounds"), text);
    }

    @Test
    void settingsAreRead() {
        Settings s = SettingsParser.parse(SETTINGS);
        assertEquals(2, s.routers());
        assertTrue(s.askedDiscovery());
        assertEquals(12.5, s.tenants().get(0).quotaPerSecond());
        assertEquals(500_000_000L, s.classes().get(0).aimNanos());
        assertEquals(CacheMode.ASIDE, s.mode());
    }

    @Test
    void aMissingSettingIsNamed() {
        String text = SETTINGS.replace("limits.try_limit=4\n", "");
        assertEquals(
                "setting limits.try_limit is missing",
                assertThrows(InvalidSettingException.class, () -> SettingsParser.parse(text))
                        .getMessage());
        String odd = SETTINGS.replace("effect=pure", "effect=wild");
        assertEquals(
                "setting profiles.0.effect=wild cannot be read",
                assertThrows(InvalidSettingException.class, () -> SettingsParser.parse(odd))
                        .getMessage());
    }
}
