package slateseam.standin;

/** A read or write at the origin. */
final class OriginRequest extends Exchange {
    private static final long MILLI = 1_000_000;
    private static final String NEVER_RAN = "X-Unprocessed: 1\r\n";

    /** What came of it, known when its work begins. */
    private enum Course {
        READ,
        WRITE,
        REPEAT,
        FAILS_BEFORE
    }

    private final Origin origin;
    private final String key;
    private final String id;
    private final RequestFacts facts;
    private final boolean write;
    private final long draws;
    private final int trouble;
    private final long deadline;
    private Course course;
    private boolean fails;
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

    OriginRequest(Origin origin, Link link, String key, String id, RequestFacts facts, boolean write, boolean last) {
        super(link, last);
        this.origin = origin;
        this.key = key;
        this.id = id;
        this.facts = facts;
        this.write = write;
        this.draws = origin.draws(id);
        this.trouble = origin.trouble(draws);
        this.deadline = facts.waitMillis() < 0 ? Long.MAX_VALUE : origin.clock.now() + facts.waitMillis() * MILLI;
    }

    /** Its last byte has come. */
    void arrive() {
        origin.tallies.add(Counter.ASKED);
        if (trouble == 503 || trouble == 504) {
            turnAway(trouble);
        } else if (origin.workers().isFull()) {
            turnAway(503);
        } else {
            origin.workers().submit(job);
            if (job.isWaiting()) {
                origin.clock.at(origin.clock.now() + origin.figures().queueNanos(), this::waitedTooLong);
            }
        }
    }

    private void waitedTooLong() {
        if (job.isWaiting() && origin.workers().remove(job)) {
            turnAway(504);
        }
    }

    private void turnAway(int status) {
        origin.tallies.add(Counter.TURNED_AWAY);
        if (!gone) {
            give(Answers.http(status, NEVER_RAN + origin.reportHeader(), "never ran\n"));
        }
    }

    private double beginWork() {
        if (!origin.figures().goesOn() && origin.clock.now() >= deadline) {
            turnAway(504);
            return -1;
        }
        fails = trouble == 500 || Draws.chance(draws, "error", origin.figures().errorShare());
        if (fails && Draws.chance(draws, "before", 0.5)) {
            course = Course.FAILS_BEFORE;
            return origin.work(write, draws);
        }
        String token = write ? facts.idempotencyKey() : null;
        if (token != null && origin.shared().receipts().isRepeat(token)) {
            course = Course.REPEAT;
            origin.witness().dropped(origin.name(), id, token);
            return 0;
        }
        course = write ? Course.WRITE : Course.READ;
        origin.witness().ran(origin.name(), id, key, write, token);
        return origin.work(write, draws);
    }

    private void workDone() {
        Archive archive = origin.shared().archive();
        long version = archive.version(key);
        if (course == Course.WRITE) {
            version = archive.write(key);
            origin.shared().copies().written(key);
            origin.tallies.add(Counter.WRITTEN);
        } else if (course == Course.READ) {
            origin.tallies.add(Counter.FETCHED);
        } else if (course == Course.REPEAT) {
            origin.tallies.add(Counter.REPEAT);
        }
        if (gone) {
            return;
        }
        if (fails) {
            origin.tallies.add(Counter.FAILED);
            give(Answers.http(500, origin.reportHeader(), "failed\n"));
            return;
        }
        byte[] value = write ? archive.receipt(key, version, id) : archive.value(key, version, id);
        Spoil.Kind spoilt = origin.spoiler().draw();
        if (spoilt == null || spoilt.isGood()) {
            origin.witness().made(origin.name(), id, value);
        }
        if (course == Course.READ) {
            origin.shared().copies().answered(id, key, version);
        }
        byte[] answer = origin.spoiler()
                .http(
                        spoilt,
                        value,
                        origin.figures().reports() ? origin.report() : null,
                        origin.figures().chunked());
        origin.spoiler().answer(this, spoilt, withInterim(answer));
    }

    private byte[] withInterim(byte[] answer) {
        byte[] whole = answer;
        for (int i = 0; i < origin.figures().interim(); i++) {
            whole = Answers.join(Answers.interim(), whole);
        }
        return whole;
    }

    private void give(byte[] answer) {
        answer(withInterim(answer));
    }

    @Override
    protected void withdrawn() {
        gone = true;
        boolean mayStop = !origin.figures().goesOn() && !(job.isInWork() && course == Course.WRITE);
        if (mayStop && origin.workers().remove(job)) {
            origin.tallies.add(Counter.STOPPED);
        }
    }
}
