package slateseam.standin.kubernetes;

/** A watch that is open. */
final class Watch {
    private final ApiServer server;
    private final ApiCall call;
    private final Selector selector;
    private final boolean bookmarks;
    /** What it was told by its start; changes up to here are not told again. */
    private final long start;

    private Cut cut;
    private boolean cutResets;

    Watch(ApiServer server, ApiCall call, Selector selector, boolean bookmarks, long start) {
        this.server = server;
        this.call = call;
        this.selector = selector;
        this.bookmarks = bookmarks;
        this.start = start;
    }

    ApiCall call() {
        return call;
    }

    /** The next event will be cut off. */
    void cut(Cut where, boolean byReset) {
        cut = where;
        cutResets = byReset;
    }

    /** One change that came after its start. */
    void tell(Change change) {
        if (change.version() > start) {
            tellAtStart(change);
        }
    }

    void tellAtStart(Change change) {
        String event = change.event(selector);
        if (event != null) {
            write(event);
        }
    }

    /** An object that was there when it began. */
    void tellAtStart(Stored slice) {
        if (selector.matches(slice)) {
            write(Change.event("ADDED", slice.whole()));
        }
    }

    /** All up to a version was told, if it takes bookmarks; one by mistake may lie before what was told. */
    void bookmark(long version, boolean byMistake) {
        if (bookmarks) {
            write(Change.event("BOOKMARK", Stored.bookmark(byMistake ? version : Math.max(version, start))));
        }
    }

    /** Ends with an error. */
    void fail(Status status) {
        write(status.event());
        end();
    }

    void end() {
        if (!call.isOver()) {
            call.endStream();
        }
    }

    private void write(String event) {
        write(Http.chunks(event, server.chunkBytes()));
    }

    void write(byte[] bytes) {
        if (call.isOver()) {
            return;
        }
        if (cut != null) {
            call.connection.cutAfter(cut.place(bytes), cutResets);
            cut = null;
        }
        call.more(bytes);
    }
}
