package slateseam.router.connections.useragents;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Statistics of the connections of user agents since the start of the process. */
public final class UserAgentFigures {
    private long opened;
    private long reused;
    private long crossed;
    private final Map<Cause, Long> ended = new EnumMap<>(Cause.class);

    UserAgentFigures() {
        for (Cause cause : Cause.values()) {
            ended.put(cause, 0L);
        }
    }

    void openedOne() {
        opened++;
    }

    void reusedOne() {
        reused++;
    }

    void crossedOne() {
        crossed++;
    }

    void endedOne(Cause cause) {
        ended.merge(cause, 1L, Long::sum);
    }

    /** Returns the number of accepted connections. */
    public long opened() {
        return opened;
    }

    /** Returns how many times an idle connection was used again. */
    public long reused() {
        return reused;
    }

    /**
     * Returns the number of connections on which bytes arrived after the router had closed its sending side between
     * requests.
     */
    public long crossed() {
        return crossed;
    }

    /** Returns the number of closed connections by cause; every cause is present. */
    public Map<Cause, Long> ended() {
        return Collections.unmodifiableMap(ended);
    }
}
