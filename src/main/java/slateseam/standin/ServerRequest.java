package slateseam.standin;

/** A read or write at an application server. */
final class ServerRequest extends Exchange {
    private static final long MILLI = 1_000_000;

    /** What came of it, known when its work begins. */
    private enum Course {
        HIT,
        MISS,
        PENDING,
        WRITE,
        REPEAT
    }

    final double fullWork;
    private final ApplicationServer server;
    private final String key;
    private final String id;
    private final RequestFacts facts;
    private final boolean write;
    private final long draws;
    private Course course;
    private long version;
    private boolean gone;
    private final WorkerPool.Job job = new WorkerPool.Job() {
        @Override
        double begin() {
            return beginWork();
        }

        @Override
        void done() {
            workDone();
        }
    };

    ServerRequest(
            ApplicationServer server,
            Link link,
            boolean last,
            String key,
            String id,
            RequestFacts facts,
            boolean write) {
        super(link, last);
        this.server = server;
        this.key = key;
        this.id = id;
        this.facts = facts;
        this.write = write;
        this.draws = server.draws(id);
        this.fullWork = server.work(facts.className(), id, draws);
    }

    /** Whether this server carries it out, as things stand. */
    boolean isServedHere() {
        return write ? server.figures().carriesWrites() : server.store().holds(key);
    }

    /** Its last byte has come; whether there is still a server to serve it. */
    boolean arrive() {
        if (!server.stands(this)) {
            return false;
        }
        if (facts.waitMillis() >= 0 && server.figures().dropsOverdue()) {
            server.clock.at(server.clock.now() + facts.waitMillis() * MILLI, this::overdue);
        }
        return true;
    }

    /** It may begin: takes a slot or a place in the waiting room. */
    void enter() {
        if (isAnswered()) {
            return;
        }
        if (server.workers().isFull()) {
            turnAway();
        } else {
            server.workers().submit(job);
        }
    }

    private void turnAway() {
        server.tallies.add(Counter.TURNED_AWAY);
        answer(Answers.line("-BUSY"));
    }

    private double beginWork() {
        double missWork = fullWork * server.figures().keeping().missShare();
        if (write) {
            if (!server.figures().carriesWrites()) {
                course = Course.MISS;
                return missWork;
            }
            String token = facts.idempotencyKey();
            if (token != null && server.shared().receipts().isRepeat(token)) {
                course = Course.REPEAT;
                server.witness().dropped(server.name(), id, token);
                return 0;
            }
            course = Course.WRITE;
            server.witness().ran(server.name(), id, key, true, token);
            return fullWork;
        }
        version = server.store().use(key);
        if (version > 0) {
            course = Course.HIT;
            server.witness().ran(server.name(), id, key, false, null);
            return fullWork;
        }
        boolean out = server.isFetched(key);
        course = out && server.figures().keeping().tellsPending() ? Course.PENDING : Course.MISS;
        return missWork;
    }

    private void workDone() {
        if (course == Course.WRITE) {
            version = server.shared().archive().write(key);
            server.shared().copies().written(key);
            server.tallies.add(Counter.WRITTEN);
        }
        if (gone) {
            return;
        }
        if (Draws.chance(draws, "error", server.figures().errorShare())) {
            server.tallies.add(Counter.FAILED);
            answer(Answers.line("-ERR failed"));
            return;
        }
        switch (course) {
            case HIT -> give(Counter.HIT, server.shared().archive().value(key, version, id), "hit");
            case WRITE -> give(null, server.shared().archive().receipt(key, version, id), null);
            case REPEAT ->
                give(
                        Counter.REPEAT,
                        server.shared()
                                .archive()
                                .receipt(key, server.shared().archive().version(key), id),
                        null);
            case MISS, PENDING -> {
                boolean pending = course == Course.PENDING;
                server.tallies.add(pending ? Counter.PENDING : Counter.MISS);
                if (!write) {
                    server.shared().copies().missed(id, server);
                }
                answer(Answers.valueless(pending ? "pending" : "miss"));
            }
        }
    }

    private void give(Counter tally, byte[] value, String how) {
        if (tally != null) {
            server.tallies.add(tally);
        }
        Spoil.Kind spoilt = server.spoiler().draw();
        if (spoilt == null || spoilt.isGood()) {
            server.witness().made(server.name(), id, value);
        }
        String report = server.figures().probing().reports() ? server.report() : null;
        server.spoiler().answer(this, spoilt, server.spoiler().resp(spoilt, value, how, report));
    }

    /** Whether it may be stopped where it is: a write that has begun is carried out. */
    private boolean mayStop() {
        return !job.isInWork() || server.figures().stopsCancelled() && course != Course.WRITE;
    }

    private void overdue() {
        if (gone || isAnswered() || !link.isOpen() || !mayStop()) {
            return;
        }
        boolean begun = job.isInWork();
        server.workers().remove(job);
        if (begun) {
            server.tallies.add(Counter.STOPPED);
            answer(Answers.line("-ERR failed"));
        } else {
            turnAway();
        }
    }

    @Override
    protected void withdrawn() {
        gone = true;
        if (mayStop() && server.workers().remove(job)) {
            server.tallies.add(Counter.STOPPED);
        }
    }
}
