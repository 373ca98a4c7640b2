package slateseam.standin.kubernetes;

/** What a watch can be told that is no event. */
public enum Garbage {
    /** A line that is no JSON. */
    TEXT("}{ not an event \u20ac\n"),
    /** JSON that is no event. */
    JSON("{\"type\":\"ADDED\",\"object\":[1]}\n"),
    /** An event of a kind that nobody knows. */
    EVENT("{\"type\":\"RENAMED\",\"object\":{\"kind\":\"EndpointSlice\"}}\n"),
    /** Bytes that are no chunk; nothing behind them can be read. */
    CHUNK(null);

    private final String text;

    Garbage(String text) {
        this.text = text;
    }

    byte[] bytes(int chunkBytes) {
        return text == null ? Http.ascii("xyz\r\n\r\n") : Http.chunks(text, chunkBytes);
    }
}
