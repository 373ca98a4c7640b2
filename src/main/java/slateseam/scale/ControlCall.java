package slateseam.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** A call to a router's second address. */
final class ControlCall {
    private static final int MOST_MILLIS = 5_000;

    private ControlCall() {}

    /** The answer's text; one that is no yes is an error with that text. */
    static String ask(String place, String method, String path) throws IOException {
        HttpURLConnection call =
                (HttpURLConnection) URI.create("http://" + place + path).toURL().openConnection();
        call.setRequestMethod(method);
        call.setConnectTimeout(MOST_MILLIS);
        call.setReadTimeout(MOST_MILLIS);
        int status = call.getResponseCode();
        try (InputStream in = status == HttpURLConnection.HTTP_OK ? call.getInputStream() : call.getErrorStream()) {
            String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException(text.isEmpty() ? "status " + status : text);
            }
            return text;
        }
    }
}
