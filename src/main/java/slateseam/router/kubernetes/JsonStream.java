package slateseam.router.kubernetes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.net.Bytes;
import slateseam.router.net.MalformedException;

/**
 * Cuts JSON that comes in parts, cut wherever they may be, into objects, and reads each when it is whole. Of an object
 * it keeps 1 MiB at most, without what nobody here needs: the records of managed fields, and what goes beyond 8 KiB of
 * a text. An object that is longer all the same is left out and told of. Nothing but the objects' text is kept.
 */
final class JsonStream {
    /** An object of the API's own bounds (1,000 endpoints) takes a good half of it. */
    static final int LONGEST_OBJECT = 1024 * 1024;

    private static final int LONGEST_TEXT = 8 * 1024;
    private static final int DEEPEST = 60;
    private static final int SHOWN = 512;
    private static final byte[] UNUSED = "managedFields".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ITEMS = "items".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);
    private static final int WORD_BYTES = 16;

    /** Takes what was read. */
    interface Taker {
        /** An object is whole. */
        void object(JSONObject object) throws MalformedException;

        /** An object was longer than is kept of one; {@code begin} is how it began. */
        void tooLong(String begin);
    }

    private final Taker taker;
    /** Whether the objects are the elements of the list {@code items} of one object, which is read as well. */
    private final boolean list;

    private final KeptText object = new KeptText(LONGEST_OBJECT);
    /** What surrounds the elements. */
    private final KeptText around = new KeptText(LONGEST_OBJECT);

    private KeptText sink;
    private int depth;
    /** A bit for each level: whether it is an object, else it is an array. */
    private long objects;

    private boolean inText;
    private boolean escaped;
    private int hexLeft;
    private int textBytes;
    private boolean expectsName;
    private final byte[] word = new byte[WORD_BYTES];
    private int wordBytes;
    private boolean inItems;
    /** At which depth something is left out; 0 for nothing. */
    private int unused;

    private boolean whole;

    /**
     * Begins a stream.
     *
     * @param list whether it is one list whose {@code items} are the objects; else objects follow each other, and white
     *     space may lie between them
     */
    JsonStream(boolean list, Taker taker) {
        this.list = list;
        this.taker = taker;
        sink = list ? around : object;
    }

    /** Takes what has come; calls the taker for each object that is whole now. */
    void take(ByteBuffer in) throws MalformedException {
        byte[] bytes = in.hasArray() ? in.array() : Bytes.copy(in);
        int at = in.hasArray() ? in.arrayOffset() + in.position() : 0;
        int end = at + in.remaining();
        in.position(in.limit());
        while (at < end) {
            int run = inText ? plainRun(bytes, at, end) : 0;
            at += run;
            if (run == 0) {
                take(bytes[at++]);
            }
        }
    }

    /** Takes bytes within a text that mean nothing but themselves at once; how many. */
    private int plainRun(byte[] bytes, int from, int end) {
        if (escaped || hexLeft > 0 || expectsName) {
            return 0;
        }
        int most = Math.min(end, from + Math.max(0, LONGEST_TEXT - textBytes));
        int at = from;
        while (at < most && bytes[at] != '"' && bytes[at] != '\\') {
            at++;
        }
        if (unused == 0 && at > from) {
            sink.append(bytes, from, at - from);
        }
        textBytes += at - from;
        return at - from;
    }

    /** Whether it ended between two objects, or with the end of the list. */
    boolean endsWell() {
        return depth == 0 && !inText && (!list || whole);
    }

    /** What surrounds the elements of a list, which is whole. */
    JSONObject around() throws MalformedException {
        return read(around);
    }

    private void take(byte b) throws MalformedException {
        if (inText) {
            takeText(b);
        } else if (b == '{' || b == '[') {
            open(b);
        } else if (b == '}' || b == ']') {
            close(b);
        } else {
            boolean blank = b == ' ' || b == '\n' || b == '\r' || b == '\t';
            if (depth == 0 && !blank) {
                throw new MalformedException("what came is no JSON object");
            }
            if (b == '"') {
                inText = true;
                textBytes = 0;
                wordBytes = 0;
            } else if (b == ',') {
                endOfValue();
                expectsName = isObject();
            }
            boolean between = inItems && depth == 2;
            if (!blank && !between) {
                put(b);
            }
            if (b == ':' && unused == 0 && isObject() && wordIs(UNUSED)) {
                unused = depth;
                sink.append(NULL, 0, NULL.length);
            }
        }
    }

    private void takeText(byte b) {
        boolean begins = !escaped && hexLeft == 0 && (b & 0xc0) != 0x80;
        boolean ends = b == '"' && !escaped && hexLeft == 0;
        if (hexLeft > 0) {
            hexLeft--;
        } else if (escaped) {
            escaped = false;
            hexLeft = b == 'u' ? 4 : 0;
        } else {
            escaped = b == '\\';
        }
        if (ends) {
            inText = false;
            put(b);
            expectsName = false;
            return;
        }
        if (expectsName) {
            if (wordBytes < WORD_BYTES) {
                word[wordBytes] = b;
            }
            wordBytes++;
        }
        // Cut between two characters, from where on nothing of this text is kept.
        if (textBytes >= LONGEST_TEXT && begins) {
            textBytes = Integer.MAX_VALUE;
        }
        if (textBytes < Integer.MAX_VALUE) {
            textBytes++;
            put(b);
        }
    }

    private void open(byte b) throws MalformedException {
        if (depth == DEEPEST || whole || depth == 0 && b == '[') {
            throw new MalformedException("what came is nested too deep, or no JSON object");
        }
        if (list && depth == 1 && b == '[' && wordIs(ITEMS)) {
            inItems = true;
        } else if (inItems && depth == 2) {
            sink = object;
        }
        put(b);
        depth++;
        objects = b == '{' ? objects | 1L << depth : objects & ~(1L << depth);
        expectsName = b == '{';
        wordBytes = 0;
    }

    private void close(byte b) throws MalformedException {
        if (depth == 0 || isObject() != (b == '}')) {
            throw new MalformedException("what came is no JSON: a bracket closes what was not opened");
        }
        endOfValue();
        depth--;
        put(b);
        expectsName = false;
        if (list && depth == 0) {
            whole = true;
        } else if (inItems && depth == 1) {
            inItems = false;
        } else if (depth == (inItems ? 2 : 0)) {
            handOut();
        }
    }

    private boolean isObject() {
        return (objects >> depth & 1) == 1;
    }

    private boolean wordIs(byte[] name) {
        if (wordBytes != name.length) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (word[i] != name[i]) {
                return false;
            }
        }
        return true;
    }

    private void endOfValue() {
        if (unused == depth) {
            unused = 0;
        }
    }

    private void put(byte b) {
        if (unused == 0) {
            sink.append(b);
        }
    }

    private void handOut() throws MalformedException {
        sink = list ? around : object;
        try {
            if (object.isTooLong()) {
                taker.tooLong(object.begin(SHOWN));
            } else {
                taker.object(read(object));
            }
        } finally {
            object.clear();
        }
    }

    private static JSONObject read(KeptText text) throws MalformedException {
        if (text.isTooLong()) {
            throw new MalformedException("what surrounds the items of a list is too long");
        }
        try {
            return text.json();
        } catch (JSONException e) {
            throw new MalformedException("what came is no JSON: " + e.getMessage());
        }
    }
}
