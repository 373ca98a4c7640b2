package slateseam.standin.useragent;

/** Draws that follow from a number: those of one request, whatever is drawn for others. */
final class Mix {
    private static final long STEP = 0x9e3779b97f4a7c15L;

    private Mix() {}

    /** Spreads the bits of a number over all of it. */
    static long of(long x) {
        long z = x + STEP;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** One number for a seed and what it is for. */
    static long of(long seed, long what) {
        return of(of(seed) ^ what);
    }

    /** From 0 to below 1. */
    static double share(long seed, long what) {
        return (of(seed, what) >>> 11) * 0x1p-53;
    }

    /** A number of the normal distribution. */
    static double gaussian(long seed, long what) {
        return StrictMath.sqrt(-2 * StrictMath.log(1 - share(seed, what)))
                * StrictMath.cos(2 * Math.PI * share(seed, ~what));
    }

    /** 16 hexadecimal digits. */
    static String hex(long x) {
        char[] digits = new char[16];
        for (int i = 0; i < digits.length; i++) {
            digits[i] = Character.forDigit((int) (x >>> (60 - 4 * i)) & 15, 16);
        }
        return new String(digits);
    }
}
