package slateseam.trial;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** One call for a router's figures at its second address, as whoever operates it makes it. */
final class StatsCall implements Party {
    private static final int MOST_BYTES = 256 * 1024;

    private final ByteArrayOutputStream come = new ByteArrayOutputStream();
    private final String method;
    private final String path;
    private final Consumer<JSONObject> told;

    /** Creates it; what it hands on is null where no figures came, and it does so once. */
    StatsCall(String path, Consumer<JSONObject> told) {
        this("GET", path, told);
    }

    /** The same by another method. */
    StatsCall(String method, String path, Consumer<JSONObject> told) {
        this.method = method;
        this.path = path;
        this.told = told;
    }

    @Override
    public void opened(Wire wire) {
        wire.write((method + " " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void received(Wire wire, byte[] bytes) {
        if (come.size() < MOST_BYTES) {
            come.writeBytes(bytes);
        }
    }

    @Override
    public void ended(Wire wire) {
        wire.end();
        String text = come.toString(StandardCharsets.UTF_8);
        int body = text.indexOf("\r\n\r\n");
        JSONObject figures = null;
        try {
            figures = text.startsWith("HTTP/1.1 200 ") && body > 0 ? new JSONObject(text.substring(body + 4)) : null;
        } catch (JSONException e) {
            // It is told as none.
        }
        told.accept(figures);
    }

    @Override
    public void broken(Wire wire) {
        told.accept(null);
    }
}
