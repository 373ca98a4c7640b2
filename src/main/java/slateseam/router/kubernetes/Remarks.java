package slateseam.router.kubernetes;

import java.util.HashMap;
import java.util.Map;
import slateseam.router.net.Clock;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

/** Writes to the operators' log, and says again what it said already only once a minute while trouble lasts. */
final class Remarks {
    private static final long AGAIN_NANOS = 60_000 * Clock.MILLI;

    private record Said(String text, long at) {}

    private final Loop loop;
    private final Log log;
    /** By kind, of which there is a fixed set. */
    private final Map<String, Said> said = new HashMap<>();

    Remarks(Loop loop) {
        this.loop = loop;
        this.log = loop.log();
    }

    void say(String kind, String text) {
        Said last = said.get(kind);
        if (last == null || !last.text.equals(text) || loop.now() - last.at >= AGAIN_NANOS) {
            said.put(kind, new Said(text, loop.now()));
            log.line(kind, text);
        }
    }

    /** Trouble is over: what comes next is new. */
    void over() {
        said.clear();
    }
}
