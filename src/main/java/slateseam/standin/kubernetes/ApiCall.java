package slateseam.standin.kubernetes;

import slateseam.standin.Exchange;
import slateseam.standin.HttpReader;

/** One request to the API, until it is answered. */
final class ApiCall extends Exchange {
    final HttpReader.Request request;
    final Query query;
    final ApiLink connection;
    private final ApiServer server;
    private boolean withdrawn;

    ApiCall(ApiServer server, ApiLink link, HttpReader.Request request) {
        super(link, request.closes());
        this.server = server;
        this.connection = link;
        this.request = request;
        this.query = new Query(request.path());
    }

    /** Whether nobody waits for it any more. */
    boolean isOver() {
        return withdrawn || isAnswered();
    }

    void tell(String json) {
        answer(Http.whole(200, "", json, server.chunkBytes()));
    }

    void tell(Status status) {
        String retry = status.retryAfterSeconds() > 0 ? "Retry-After: " + status.retryAfterSeconds() + "\r\n" : "";
        answer(Http.whole(status.code(), retry, status.json(), server.chunkBytes()));
    }

    /** Begins an answer of which nobody knows the end. */
    void stream() {
        part(Http.stream());
    }

    void more(byte[] bytes) {
        part(bytes);
    }

    void endStream() {
        answer(Http.END);
    }

    @Override
    protected void withdrawn() {
        withdrawn = true;
        server.withdraw(this);
    }
}
