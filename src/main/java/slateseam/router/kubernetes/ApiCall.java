package slateseam.router.kubernetes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import slateseam.router.config.KubernetesSettings.Api;
import slateseam.router.net.Bytes;
import slateseam.router.net.Connection;
import slateseam.router.net.HttpHead;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.tls.TlsTransport;

/** A connection to the API, which carries one request after another. */
final class ApiCall extends Connection {
    private static final int FIRST_FINAL = 200;
    private static final int FIRST_FAULT = 400;

    /** Takes what comes of a request. A listener that closes the call hears nothing more of it. */
    interface Listener {
        /** The connection is up. */
        void up();

        /** The head of the answer has come. */
        void answered(HttpHead head);

        /** A part of the answer's body has come. */
        void body(ByteBuffer part) throws MalformedException;

        /** The answer is whole; the next request may go out if the connection {@link #isReusable}. */
        void over() throws MalformedException;

        /** What came breaks the protocol; the call is closed. */
        void malformed(String why);

        /** The connection broke or never came up; the call is closed. */
        void broken(String why);
    }

    private final Api api;
    private final Access.Ready access;
    /** Null without TLS. */
    private final TlsTransport tls;

    private final Listener listener;
    private boolean up;
    private HttpHead head;
    private Body body;
    private boolean reusable;

    private ApiCall(Loop loop, Api api, Access.Ready access, TlsTransport tls, Listener listener) throws IOException {
        super(loop, access.address(), tls);
        this.api = api;
        this.access = access;
        this.tls = tls;
        this.listener = listener;
    }

    /** Begins to connect. */
    static ApiCall connect(Loop loop, Api api, Access.Ready access, Executor aside, Listener listener)
            throws IOException {
        TlsTransport tls = access.trust() == null ? null : access.trust().connect(loop, aside, api.host(), api.port());
        return new ApiCall(loop, api, access, tls, listener);
    }

    /** Whether a request can go out on it, as things stand now. */
    boolean isReusable(Access.Ready now) {
        return reusable
                && !isClosed()
                && now.trust() == access.trust()
                && now.address().equals(access.address());
    }

    /** Asks; the answer before must be over. */
    void ask(String target, String token) {
        reusable = false;
        String authorization = token == null ? "" : "Authorization: Bearer " + token + "\r\n";
        write(ByteBuffer.wrap(Bytes.of("GET " + target + " HTTP/1.1\r\nHost: " + api.authority()
                + "\r\nAccept: application/json\r\nUser-Agent: slateseam\r\n" + authorization + "\r\n")));
    }

    @Override
    protected void connected() {
        up = true;
        listener.up();
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        while (!isClosed() && in.hasRemaining()) {
            if (reusable || !up) {
                throw new MalformedException("bytes came that nobody asked for");
            }
            if (head == null && !readHead(in)) {
                return;
            }
            ByteBuffer part;
            while (!isClosed() && (part = body.next(in)) != null) {
                listener.body(part);
            }
            if (!isClosed() && body.isOver()) {
                reusable = head.keepsAlive();
                head = null;
                listener.over();
            }
        }
    }

    private boolean readHead(ByteBuffer in) throws MalformedException {
        int start = in.position();
        HttpHead come = HttpHead.read(in);
        if (come == null) {
            in.position(start);
            return false;
        }
        if (come.status() < FIRST_FINAL) {
            return in.hasRemaining() && readHead(in);
        }
        if (come.status() >= FIRST_FAULT && !come.endsByItself()) {
            // Its text ends with the connection; the status is enough.
            listener.answered(come);
            listener.over();
            close();
            return false;
        }
        head = come;
        body = new Body(come);
        listener.answered(come);
        return !isClosed();
    }

    @Override
    protected void malformed(MalformedException e) {
        // Guards a listener that closed the call against what lay behind that in the same bytes.
        if (!isClosed()) {
            close();
            listener.malformed(e.getMessage());
        }
    }

    @Override
    protected void broken() {
        String why = tls == null || tls.trouble() == null ? null : tls.trouble();
        listener.broken(why != null ? why : up ? "the connection broke" : "the connection did not come up");
    }

    /** Whether TLS was refused, by whichever side. */
    boolean isRefused() {
        return tls != null && !tls.isOpen() && tls.trouble() != null;
    }
}
