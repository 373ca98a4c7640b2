package slateseam.router.snapshot;

import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** What a snapshot holds as bytes, JSON in both kinds. */
final class Bodies {
    private static final byte DISCOVERY = 1;
    private static final byte SLICES = 2;

    private Bodies() {}

    static byte kind(Content content) {
        return content instanceof Content.Discovery ? DISCOVERY : SLICES;
    }

    /** Writes it piece by piece, so that no second copy takes the heap. */
    static byte[] write(Content content, int most) throws IOException {
        BoundedBytes bytes = new BoundedBytes(most);
        try (Writer out = new OutputStreamWriter(bytes, StandardCharsets.UTF_8)) {
            if (content instanceof Content.Slices slices) {
                SlicesJson.write(slices.remembered(), out);
            } else {
                ((Content.Discovery) content).list().write(out);
            }
        } catch (JSONException e) {
            throw e.getCause() instanceof IOException cause ? cause : new IOException(e);
        }
        return bytes.all();
    }

    /** Reads it. Throws {@link JSONException} or {@link IllegalArgumentException} if it makes no sense. */
    static Content read(byte kind, byte[] body) {
        JSONObject json = new JSONObject(new String(body, StandardCharsets.UTF_8));
        return switch (kind) {
            case DISCOVERY -> new Content.Discovery(json);
            case SLICES -> new Content.Slices(SlicesJson.read(json));
            default -> throw new IllegalArgumentException("kind " + kind);
        };
    }
}
