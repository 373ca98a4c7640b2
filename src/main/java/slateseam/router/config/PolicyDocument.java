package slateseam.router.config;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.config.NodeConfig.InvalidConfigException;

/** A document of the tier's policy: those parts of the settings that a router changes without a restart, laid over its own file. */
public final class PolicyDocument {
    /** A document may have. */
    public static final int MOST_BYTES = 64 * 1024;

    private static final Set<String> PARTS = Set.of("profiles", "limits", "rules", "over_share_worth");

    private PolicyDocument() {}

    /** What a router is to run by, where its own file is this one; the fault names the place. */
    public static NodeConfig over(NodeConfig own, byte[] document) throws InvalidConfigException {
        if (document.length == 0) {
            return own;
        }
        if (document.length > MOST_BYTES) {
            throw new InvalidConfigException("the document has " + document.length + " bytes, over " + MOST_BYTES);
        }
        try {
            JSONObject told = new JSONObject(new String(document, StandardCharsets.UTF_8));
            for (String key : told.keySet()) {
                if (!key.equals("settings")) {
                    throw new InvalidConfigException(key + " is no part of a policy: settings is");
                }
            }
            JSONObject settings = told.getJSONObject("settings");
            JSONObject whole = new JSONObject(own.whole().toString());
            for (String key : settings.keySet()) {
                if (!PARTS.contains(key)) {
                    throw new InvalidConfigException("settings." + key + " cannot be changed without a restart");
                }
                lay(whole.getJSONObject("settings"), key, settings.get(key));
            }
            NodeConfig changed = NodeConfig.parse(whole.toString());
            Reread.check(own.whole(), changed.whole());
            return changed;
        } catch (JSONException e) {
            throw new InvalidConfigException(e.getMessage());
        } catch (StackOverflowError e) {
            throw new InvalidConfigException("the document is nested too deep");
        }
    }

    /** Objects are laid over one another; all else takes the place of what was there. */
    private static void lay(JSONObject under, String key, Object value) {
        if (value instanceof JSONObject object && under.opt(key) instanceof JSONObject old) {
            object.keySet().forEach(inner -> lay(old, inner, object.get(inner)));
        } else {
            under.put(key, value);
        }
    }
}
