package slateseam.standin;

/** A probe of an application server that waits and costs as a request does. */
final class ServerProbe extends Exchange {
    private final ApplicationServer server;
    /** Null for the load report as it is then. */
    private final byte[] reply;

    private final Workshop.Job job = new Workshop.Job() {
        @Override
        double begin() {
            return server.figures().probing().seconds();
        }

        @Override
        void done() {
            answer(reply == null ? Answers.bulk(server.report()) : reply);
        }
    };

    ServerProbe(ApplicationServer server, Link link, boolean last, byte[] reply) {
        super(link, last);
        this.server = server;
        this.reply = reply;
    }

    void enter() {
        if (server.workshop().isFull()) {
            answer(Answers.line("-ERR no room"));
        } else {
            server.workshop().submit(job);
        }
    }

    @Override
    protected void withdrawn() {
        server.workshop().remove(job);
    }
}
