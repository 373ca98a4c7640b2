package slateseam.router;

import slateseam.router.core.Core;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.useragent.RespFront;

/**
 * The times of a planned shutdown. They follow from the classes in force, not from those of earlier settings; requests
 * that arrived under earlier settings keep their own deadlines. Connections whose answers are still being read stay
 * open after these times.
 */
final class PlannedEnd {
    /**
     * Upper bound of the longest deadline that a planned shutdown waits for. The process is killed no sooner than
     * after the longest deadline, or this bound if it is shorter, plus the time in which requests may still arrive.
     */
    private static final long MAX_DEADLINE_NANOS = 3_000_000_000L;
    /**
     * Time after the start of a planned shutdown in which requests may still arrive at this process; slightly shorter
     * than the actual time, because answers take time to be sent.
     */
    private static final long LATE_ARRIVAL_NANOS = 600_000_000L;
    /** Time that connections without an answer to send have to close once no request is open. */
    private static final long CLOSE_TIMEOUT_NANOS = 1_100_000_000L;

    private final Loop loop;
    private final Core core;
    private final RespFront front;
    private final long begunAt;
    private long answersDueAt = Long.MAX_VALUE;
    private Deadline finishDeadline;

    /** Begins a planned shutdown. */
    PlannedEnd(Loop loop, Core core, RespFront front, long longestAnswerNanos) {
        this.loop = loop;
        this.core = core;
        this.front = front;
        this.begunAt = loop.now();
        limit(longestAnswerNanos);
        loop.after(latestAnswersDueAt() + CLOSE_TIMEOUT_NANOS - begunAt, front::closeDone);
    }

    /** Limits the shutdown to the longest deadline of the classes in force. It never takes longer than it did before. */
    void limit(long longestAnswerNanos) {
        long limit = begunAt + Math.min(longestAnswerNanos, MAX_DEADLINE_NANOS) + LATE_ARRIVAL_NANOS;
        long dueAt = Math.max(limit, loop.now());
        if (dueAt < answersDueAt) {
            answersDueAt = dueAt;
            core.endAnswersBy(dueAt, latestAnswersDueAt());
            loop.cancel(finishDeadline);
            finishDeadline = loop.after(dueAt - loop.now(), front::finish);
        }
    }

    private long latestAnswersDueAt() {
        return begunAt + MAX_DEADLINE_NANOS + LATE_ARRIVAL_NANOS;
    }
}
