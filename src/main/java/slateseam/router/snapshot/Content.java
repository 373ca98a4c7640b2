package slateseam.router.snapshot;

import org.json.JSONObject;
import slateseam.router.membership.Remembered;

/** What a snapshot holds; nothing in it may be changed once it is handed over. */
public sealed interface Content {
    /** A whole list in discovery's own form, its version included. */
    record Discovery(JSONObject list) implements Content {}

    /** What a membership remembers. */
    record Slices(Remembered remembered) implements Content {}
}
