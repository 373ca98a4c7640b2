package slateseam.standin;

import java.nio.charset.StandardCharsets;

/** A router's connection to the origin: one request at a time. */
final class OriginLink extends Link {
    private final Origin origin;
    private final HttpReader reader = new HttpReader(inbox);

    OriginLink(Origin origin, Wire wire) {
        super(origin, wire, 1);
        this.origin = origin;
    }

    @Override
    protected Exchange next() throws UnreadableException {
        HttpReader.Request request = reader.next();
        if (request == null) {
            return null;
        }
        boolean write = request.method().equals("PUT");
        if (!write && !request.method().equals("GET")) {
            throw new UnreadableException("a method that nobody uses");
        }
        if (request.path().startsWith("/-/")) {
            return probe(request.path(), request.closes());
        }
        String id = request.headers().get("x-correlation-id");
        String facts = request.headers().get("x-facts");
        if (id == null || facts == null || write && !request.headers().containsKey("content-length")) {
            throw new UnreadableException("a header lacks");
        }
        return new OriginRequest(
                origin,
                this,
                visible(request.path().substring(1)),
                visible(id),
                RequestFacts.of(visible(facts)),
                write,
                request.closes());
    }

    private static String visible(String text) throws UnreadableException {
        return RequestFacts.visible(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Exchange probe(String path, boolean closes) {
        origin.tallies.add(Tally.PROBED);
        return new Simple(
                this,
                closes,
                path.equals("/-/healthy")
                        ? Answers.http(200, "", "ok\n")
                        : path.equals("/-/load")
                                ? Answers.http(200, "", origin.report() + "\n")
                                : Answers.http(404, "", "no such probe\n"));
    }

    @Override
    protected void begin(Exchange exchange) {
        if (exchange instanceof Simple simple) {
            simple.give();
        } else if (exchange instanceof OriginRequest request) {
            request.arrive();
        }
    }

    @Override
    protected byte[] unreadable() {
        return Answers.http(400, "Connection: close\r\n", "not a request\n");
    }
}
