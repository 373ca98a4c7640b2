package slateseam.router.kubernetes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.json.JSONObject;
import slateseam.router.membership.Slice;
import slateseam.router.net.MalformedException;

/** A list of slices while its pages come. */
final class Listing implements JsonStream.Taker {
    /** Twice what membership takes in. */
    private static final int MOST_SLICES = 2_000;

    private static final int MOST_ENDPOINTS = 20_000;
    private static final int MOST_PAGES = 1_000;

    private final SliceReader reader;
    private final BiConsumer<String, String> remarks;
    private final List<Slice> slices = new ArrayList<>();
    private JsonStream page = new JsonStream(true, this);
    private int endpoints;
    private int pages;
    private boolean whole = true;
    private String version;
    private String next;

    Listing(SliceReader reader, BiConsumer<String, String> remarks) {
        this.reader = reader;
        this.remarks = remarks;
    }

    /** The page that comes. */
    JsonStream page() {
        return page;
    }

    /** The page has come; whether another follows it, at {@link #next}. */
    boolean pageIsOver() throws MalformedException {
        if (!page.endsWell()) {
            throw new MalformedException("a list ended before its end");
        }
        JSONObject around = page.around();
        version = SliceReader.version(around);
        next = around.getJSONObject("metadata").optString("continue", "");
        if (!next.isEmpty() && ++pages == MOST_PAGES) {
            throw new MalformedException("a list of over " + MOST_PAGES + " pages");
        }
        page = new JsonStream(true, this);
        return !next.isEmpty();
    }

    /** The list of a file has come, which has no version of its own. */
    void savedIsOver() throws MalformedException {
        if (!page.endsWell()) {
            throw new MalformedException("the list ends before its end");
        }
        String kind = page.around().optString("kind");
        if (!kind.equals("List") && !kind.equals("EndpointSliceList")) {
            throw new MalformedException("this is no list of EndpointSlices: its kind is " + kind);
        }
    }

    /** Asks for the page behind those that have come; null for the first. */
    String next() {
        return next;
    }

    /** The version that the list is of. */
    String version() {
        return version;
    }

    /** What was listed, each slice with its own version. */
    List<Slice> slices() {
        return slices;
    }

    /** Whether what is not in it is not there; not so if something was left out. */
    boolean isWhole() {
        return whole;
    }

    @Override
    public void object(JSONObject object) {
        if (slices.size() == MOST_SLICES || endpoints > MOST_ENDPOINTS) {
            left("there are more slices or endpoints than can be taken in");
            return;
        }
        try {
            Slice slice = reader.read(object);
            if (slice != null) {
                slices.add(slice);
                endpoints += slice.endpoints().size();
            }
        } catch (MalformedException e) {
            left(e.getMessage());
        }
    }

    @Override
    public void tooLong(String begin) {
        left("an object is longer than " + JsonStream.LONGEST_OBJECT + " bytes: " + begin);
    }

    private void left(String why) {
        whole = false;
        remarks.accept("kubernetes-object", "left out of the list: " + why);
    }
}
