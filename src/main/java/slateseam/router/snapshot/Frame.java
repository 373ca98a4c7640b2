package slateseam.router.snapshot;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The bytes of a snapshot: magic, format, length of the whole, time, kind, router, source, body, and a checksum of all
 * that comes before it. Numbers are big-endian, texts are UTF-8 with a length of 16 bits.
 */
final class Frame {
    private static final byte[] MAGIC = {'S', 'L', 'T', 'F', 'A', 'R', 'M', '\n'};
    private static final short FORMAT = 1;
    private static final int LENGTH_AT = MAGIC.length + Short.BYTES;
    private static final int FIXED = LENGTH_AT + Integer.BYTES + Long.BYTES + 1 + 2 * Short.BYTES + 2 * Integer.BYTES;
    /** Clocks may be corrected a little between two starts. */
    private static final long MOST_AHEAD = 60_000_000_000L;

    private static final int MOST_TEXT = 4_096;

    /** What a frame came to: its body if it is good, else what is wrong. */
    record Read(Finding finding, byte kind, byte[] body, long writtenAt, String detail) {
        static Read bad(Finding finding, String detail) {
            return new Read(finding, (byte) 0, null, 0, detail);
        }
    }

    private Frame() {}

    static ByteBuffer write(SnapshotSettings settings, byte kind, byte[] body, long writtenAt) {
        byte[] router = text(settings.router());
        byte[] source = text(settings.source());
        ByteBuffer out = ByteBuffer.allocate(FIXED + router.length + source.length + body.length);
        out.put(MAGIC)
                .putShort(FORMAT)
                .putInt(out.capacity())
                .putLong(writtenAt)
                .put(kind);
        out.putShort((short) router.length)
                .put(router)
                .putShort((short) source.length)
                .put(source);
        out.putInt(body.length).put(body);
        out.putInt(checksum(out.array(), out.position()));
        return out.flip();
    }

    static Read read(byte[] in, SnapshotSettings settings, long now) {
        int shown = Math.min(in.length, MAGIC.length);
        if (!Arrays.equals(in, 0, shown, MAGIC, 0, shown)) {
            return Read.bad(Finding.FOREIGN, "");
        }
        if (in.length < LENGTH_AT) {
            return Read.bad(Finding.TORN, in.length + " bytes");
        }
        ByteBuffer all = ByteBuffer.wrap(in).position(MAGIC.length);
        int format = all.getShort();
        if (format != FORMAT) {
            return Read.bad(Finding.OTHER_FORMAT, "format " + format + ", not " + FORMAT);
        }
        int length = in.length < FIXED ? Integer.MAX_VALUE : all.getInt();
        if (in.length < length) {
            return Read.bad(Finding.TORN, in.length + " bytes");
        }
        int end = in.length - Integer.BYTES;
        if (in.length > length || all.getInt(end) != checksum(in, end)) {
            return Read.bad(Finding.DAMAGED, "");
        }
        // From here on it is as it was written, if by this program.
        long writtenAt = all.getLong();
        byte kind = all.get();
        byte[] router = new byte[all.getShort()];
        all.get(router);
        byte[] source = new byte[all.getShort()];
        all.get(source);
        byte[] body = new byte[all.getInt()];
        all.get(body);
        if (!Arrays.equals(router, text(settings.router()))) {
            return Read.bad(Finding.OTHER_ROUTER, new String(router, StandardCharsets.UTF_8));
        }
        if (!Arrays.equals(source, text(settings.source()))) {
            return Read.bad(Finding.OTHER_SOURCE, new String(source, StandardCharsets.UTF_8));
        }
        if (writtenAt > now + MOST_AHEAD) {
            return Read.bad(Finding.AHEAD, seconds(writtenAt - now) + " s from now");
        }
        if (now - writtenAt > settings.oldestNanos()) {
            return Read.bad(Finding.TOO_OLD, seconds(now - writtenAt) + " s old");
        }
        return new Read(Finding.GOOD, kind, body, writtenAt, seconds(Math.max(0, now - writtenAt)) + " s old");
    }

    private static long seconds(long nanos) {
        return nanos / 1_000_000_000L;
    }

    private static byte[] text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= MOST_TEXT ? bytes : Arrays.copyOf(bytes, MOST_TEXT);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
