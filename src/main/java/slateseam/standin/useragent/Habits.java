package slateseam.standin.useragent;

/**
 * How the user agents of a day behave. Times are in nanoseconds.
 *
 * @param connections what becomes of a connection after an answer
 * @param mostConnections that one process has open; what finds none waits
 * @param patience a try is given up after this part of the class's deadline, over 0 to 1
 * @param waitsForLate whether a connection whose request was given up is kept open for the late answer, else it is
 *     closed
 * @param graceNanos how much later than told a try is given up
 * @param retries of a request, at most
 * @param retriesAtOnce whether a retry is made at once, else after a wait
 * @param waitNanos the first wait, doubled with each retry, and up to half as long again by chance
 * @param mostHeededNanos the longest time to come back that is heeded
 * @param marks whether a retry is marked
 * @param leaving the part of the requests whose user agent leaves early, 0 to 1
 * @param noticeNanos until a front takes a silent router for down
 */
public record Habits(
        Connections connections,
        int mostConnections,
        double patience,
        boolean waitsForLate,
        long graceNanos,
        int retries,
        boolean retriesAtOnce,
        long waitNanos,
        long mostHeededNanos,
        boolean marks,
        double leaving,
        long noticeNanos) {
    /** What becomes of a connection after an answer. */
    public enum Connections {
        /** It carries further requests. */
        REUSED,
        /** It is closed. */
        ONCE,
        /** It stays open and carries nothing more. */
        LEFT_OPEN
    }
}
