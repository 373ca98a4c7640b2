package slateseam.router.request;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.List;
import java.util.stream.Stream;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Tenant;
import slateseam.router.net.Bytes;

/**
 * How features show classes, tenants and keys: as one word each, so that none can forge a line or a part of one.
 *
 * @param classes by slot
 * @param tenants by number; the last name is shared by all tenants that the settings do not know, so that nothing grows
 *     with what user agents make up
 */
public record Names(List<String> classes, List<String> tenants) {
    /** Of a key, so that lines stay short. */
    public static final int MOST_KEY_BYTES = 256;

    /** The names of a router's settings; those of classes as they are when they are asked for. */
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

    /** The name with {@code _} for all but visible ASCII and the letters and digits of other scripts. */
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

    /** A key, cut off behind its first 256 bytes. */
    public static String key(byte[] key) {
        int shown = Math.min(key.length, MOST_KEY_BYTES);
        byte[] visible = new byte[shown];
        for (int i = 0; i < shown; i++) {
            visible[i] = Bytes.isVisible(key[i]) ? key[i] : (byte) '?';
        }
        return new String(visible, StandardCharsets.US_ASCII) + (shown < key.length ? "…" : "");
    }
}
