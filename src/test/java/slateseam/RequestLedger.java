package slateseam;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What servers did for each request, and which rules were broken as seen from servers and clients together. */
final class RequestLedger {
    /** In which a server reads the end of a connection that the router has closed before it sends a request again. */
    private static final long CLOSE_MILLIS = 100;

    /** An attempt at a server: whether it is over, by its answer or by the end of its connection. */
    interface Attempt {
        boolean isOver();
    }

    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final List<String> breaks = new CopyOnWriteArrayList<>();

    /** A server has read a request whole. */
    void arrived(String id, Attempt attempt) throws InterruptedException {
        Attempt earlier = attempts.put(id, attempt);
        for (long i = 0; earlier != null && !earlier.isOver(); i++) {
            if (i == CLOSE_MILLIS) {
                breaks.add("two attempts at once: " + id);
                return;
            }
            Thread.sleep(1);
        }
    }

    /** A server has begun to carry out a request. */
    void ran(String id, String facts) {
        if (!ran.add(id) && facts.contains("c=once")) {
            breaks.add("ran twice: " + id);
        }
    }

    /** A client has its answer. */
    void answered(String id, boolean once, String answer) {
        if (answer == null) {
            breaks.add("lost: " + id);
        } else if (answer.startsWith("-BUSY")) {
            if (once && ran.contains(id)) {
                breaks.add("refused though it ran: " + id);
            }
        } else if (!answer.startsWith("-") && !answer.startsWith(id + ":")) {
            breaks.add(
                    "a value of another request: " + id + " got " + answer.substring(0, Math.min(40, answer.length())));
        }
    }

    List<String> breaks() {
        return List.copyOf(breaks);
    }

    long count(String kind) {
        return breaks.stream().filter(line -> line.startsWith(kind)).count();
    }
}
