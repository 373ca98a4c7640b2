package slateseam.standin;

/** A probe of an application server that waits and costs as a request does. */
final class ServerProbe extends Exchange {
    private final ApplicationServer server;
    /** Null for the load report as it is then. */
    private final byte[] reply;

    private final WorkerPool.Job job = new WorkerPool.Job() {
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
        if (server.workers().isFull()) {
            answer(Answers.line("-ERR no room"));
        } else {
            server.workers().submit(job);
        }
    }

    @Override
    protected void withdrawn() {
        server.workers().remove(job);
    }
}
