package slateseam.standin.useragent;

/**
 * A request as somebody wants it answered; its retries belong to it.
 *
 * @param userAgent the process that asks
 * @param number of the arrival at that process, counted from 0; those of a surge begin at a million or a multiple
 * @param kind its class
 * @param tenant for whom, null where there are no tenants
 * @param key asked for
 * @param seed from which all that is drawn for this request follows
 * @param asked when it was first asked, in Unix time in nanoseconds
 */
public record Request(
        String userAgent, int number, ClassFigures kind, TenantFigures tenant, String key, long seed, long asked) {
    private static final int TOKEN = 1;
    private static final int ID = 100;

    /** By the seed alone, which no two requests of a day share. */
    @Override
    public int hashCode() {
        return Long.hashCode(seed);
    }

    /** The id of a try, counted from 0. */
    String id(int attempt) {
        return Mix.hex(Mix.of(seed, ID + attempt));
    }

    /** The idempotency key: the same for all tries; null where the class has none. */
    public String token() {
        return kind.effect() == ClassFigures.Effect.KEYED ? Mix.hex(Mix.of(seed, TOKEN)) : null;
    }

    /** When nobody waits for it any more. */
    public long deadline() {
        return asked + kind.deadlineNanos();
    }
}
