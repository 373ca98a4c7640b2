package slateseam.router.request;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.List;
import java.util.stream.Stream;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Tenant;
import slateseam.router.net.Bytes;

/**
 * The names of classes and tenants as logs and metrics show them. Each name is a single word, so that no name can
 * forge a line or a field of a line.
 *
 * @param classes the names of request classes, by slot
 * @param tenants the names of tenants, by number; all tenants that the settings do not list share the last name, so
 *     that the number of names does not grow with what user agents send
 */
public record Names(List<String> classes, List<String> tenants) {
    /** The maximum number of bytes of a key that are shown, which keeps lines short. */
    public static final int MOST_KEY_BYTES = 256;

    /** Returns the names of the given settings; names of classes are looked up in the given list on each access. */
    public static Names of(Settings settings, List<String> classes) {
        return new Names(
                new AbstractList<>() {
                    @Override
                    public String get(int slot) {
                        return word(classes.get(slot));
                    }

                    @Override
                    public int size() {
                        return classes.size();
                    }
                },
                Stream.concat(settings.tenants().stream().map(Tenant::name).map(Names::word), Stream.of("other"))
                        .toList());
    }

    /** Replaces each character except visible ASCII and letters and digits of any script by {@code _}. */
    private static String word(String name) {
        StringBuilder word = new StringBuilder(name.isEmpty() ? "_" : name);
        for (int i = 0; i < word.length(); i++) {
            char c = word.charAt(i);
            if (!Bytes.isVisible(c) && !Character.isLetterOrDigit(c)) {
                word.setCharAt(i, '_');
            }
        }
        return word.toString();
    }

    /** Returns a key as visible ASCII, truncated after {@link #MOST_KEY_BYTES} bytes. */
    public static String key(byte[] key) {
        int shown = Math.min(key.length, MOST_KEY_BYTES);
        byte[] visible = new byte[shown];
        for (int i = 0; i < shown; i++) {
            visible[i] = Bytes.isVisible(key[i]) ? key[i] : (byte) '?';
        }
        return new String(visible, StandardCharsets.US_ASCII) + (shown < key.length ? "…" : "");
    }
}
