package slateseam.router.kubernetes;

import java.util.function.Consumer;
import org.json.JSONObject;
import slateseam.router.membership.Membership;
import slateseam.router.membership.Slice;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** Reads the events of a watch and tells a membership of them. */
final class Events implements JsonStream.Taker {
    private static final String LEFT_OUT = "kubernetes-object";

    private final Loop loop;
    private final SliceReader reader;
    private final Membership membership;
    private final Remarks remarks;
    private final Runnable told;
    private final Consumer<JSONObject> ended;
    private boolean over;

    /**
     * Begins to read.
     *
     * @param told runs after each event that was taken in
     * @param ended takes the status with which the API ended the watch; nothing is read behind it
     */
    Events(
            Loop loop,
            SliceReader reader,
            Membership membership,
            Remarks remarks,
            Runnable told,
            Consumer<JSONObject> ended) {
        this.loop = loop;
        this.reader = reader;
        this.membership = membership;
        this.remarks = remarks;
        this.told = told;
        this.ended = ended;
    }

    @Override
    public void object(JSONObject event) throws MalformedException {
        if (over) {
            return;
        }
        JSONObject object = event.optJSONObject("object");
        String type = event.optString("type");
        if (object == null) {
            throw new MalformedException("an event without an object");
        }
        switch (type) {
            case "ADDED", "MODIFIED", "DELETED" -> change(type.equals("DELETED"), object);
            case "BOOKMARK" -> membership.reached(SliceReader.version(object));
            case "ERROR" -> {
                over = true;
                ended.accept(object);
                return;
            }
            default -> remarks.say(LEFT_OUT, "an event of the unknown type " + type);
        }
        told.run();
    }

    private void change(boolean deleted, JSONObject object) {
        try {
            Slice slice = reader.read(object);
            if (slice != null && deleted) {
                membership.deleted(slice, loop.now());
            } else if (slice != null) {
                membership.changed(slice, loop.now());
            }
        } catch (MalformedException e) {
            remarks.say(LEFT_OUT, "left out: " + e.getMessage());
        }
    }

    @Override
    public void tooLong(String begin) {
        remarks.say(LEFT_OUT, "left out, as it is longer than " + JsonStream.LONGEST_OBJECT + " bytes: " + begin);
    }
}
