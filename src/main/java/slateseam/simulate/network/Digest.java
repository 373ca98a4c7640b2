package slateseam.simulate.network;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/** A running hash of all happenings, to tell whether two runs were the same; no guard against an adversary. */
final class Digest {
    /** The kinds of happenings. */
    static final int UP = 1;

    static final int ACCEPTED = 2;
    static final int DATA = 3;
    static final int END = 4;
    static final int RESET = 5;
    static final int REFUSED = 6;
    static final int DATAGRAM = 7;
    static final int HANDED = 8;
    static final int FAULT = 9;

    private static final VarHandle LONGS = MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
    private static final long FACTOR = 0x9E3779B97F4A7C15L;

    private long value;
    private long happenings;

    /** Adds a happening: its time, the connection or machine that it concerns, its kind and a length. */
    void add(long time, long number, int kind, int length) {
        happenings++;
        mix(time);
        mix(number << 40 ^ (long) kind << 32 ^ length);
    }

    /** Adds bytes. */
    void add(byte[] bytes, int from, int to) {
        int at = from;
        for (; at + Long.BYTES <= to; at += Long.BYTES) {
            mix((long) LONGS.get(bytes, at));
        }
        long rest = 0;
        for (; at < to; at++) {
            rest = rest << 8 | bytes[at] & 0xFF;
        }
        mix(rest);
    }

    private void mix(long next) {
        value = (Long.rotateLeft(value, 23) ^ next) * FACTOR;
    }

    /** The hash of all happenings so far. */
    long value() {
        return value ^ value >>> 32;
    }

    /** How many happenings there were. */
    long happenings() {
        return happenings;
    }
}
