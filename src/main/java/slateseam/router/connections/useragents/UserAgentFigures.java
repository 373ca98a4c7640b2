package slateseam.router.connections.useragents;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** What connections of user agents came to since the start. */
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

    /** Connections that were taken. */
    public long opened() {
        return opened;
    }

    /** Times that an idle connection was used again. */
    public long reused() {
        return reused;
    }

    /** Connections on which bytes came after the router had ended its sending between requests. */
    public long crossed() {
        return crossed;
    }

    /** Connections that were ended, by cause; every cause is there. */
    public Map<Cause, Long> ended() {
        return Collections.unmodifiableMap(ended);
    }
}
