package slateseam.simulate.network;

import java.util.HashMap;
import java.util.Map;
import slateseam.standin.Wire;

/** A server that answers whatever it is asked as its script says, in the protocol of caches or of the origin. */
final class ScriptedServer extends Teller {
    /** What the servers answer; {@code KEY} stands for the key, {@code LENGTH} for the key's length. */
    static final class Script {
        String cache = "*1\r\n$LENGTH\r\nKEY\r\n";
        String origin = "HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n\r\nKEY";
        /** What the cache answers for some keys, where that is not what it answers for all. */
        final Map<String, String> cacheOf = new HashMap<>();

        /** Whether the cache reads nothing. */
        boolean deaf;
    }

    private static final int LINES_OF_A_COMMAND = 9;

    private final Script script;
    private final boolean origin;

    ScriptedServer(Script script, boolean origin) {
        this.script = script;
        this.origin = origin;
    }

    /** Puts scripted servers in place of those of a stage. */
    static void serve(RouterStage stage, Script script) {
        stage.net.unlisten("10.0.3.1:6379");
        stage.net.listen("10.0.3.1:6379", wire -> new ScriptedServer(script, false));
        stage.net.listen("10.0.3.9:80", wire -> new ScriptedServer(script, true));
    }

    @Override
    public void opened(Wire on) {
        super.opened(on);
        on.pause(script.deaf);
    }

    @Override
    public void received(Wire on, byte[] bytes) {
        super.received(on, bytes);
        String text = got.toString();
        if (origin ? text.contains("\r\n\r\n") : text.split("\r\n", -1).length > LINES_OF_A_COMMAND) {
            got.setLength(0);
            String key = origin ? text.substring(text.indexOf('/') + 1, text.indexOf(" HTTP")) : text.split("\r\n")[4];
            String answer = origin ? script.origin : script.cacheOf.getOrDefault(key, script.cache);
            on.write(bytes(answer.replace("KEY", key).replace("LENGTH", Integer.toString(key.length()))));
        }
    }
}
