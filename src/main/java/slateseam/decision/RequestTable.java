package slateseam.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;

/** The requests that have not been given their final answer, and the queues in which they wait. */
final class RequestTable {
    /**
     * Added to the sort key of requests beyond their tenant's share, in nanoseconds; larger than any difference in
     * arrival times, so that these requests sort after all others.
     */
    private static final long OVER_SHARE_PENALTY_NANOS = 3600 * Timing.SECOND;
    /** All open requests by their number. */
    private final Map<Long, Job> jobs = new HashMap<>();
    /** Open requests in the order in which they are to be checked; finished requests are removed at once. */
    private final TreeSet<Job> byDueTime = new TreeSet<>(Job.order(job -> job.dueAt));

    /** Requests that are routed again at a later time; may contain finished requests. */
    private final PriorityQueue<Job> delayed = Job.queue(job -> job.resumeAt);
    /**
     * Requests that wait for supply. Requests within their tenant's share come first, and among them the one that
     * arrived last, because it has the most time left to meet its aim. May contain finished requests.
     */
    private final PriorityQueue<Job> awaitingSupply =
            Job.queue(job -> (job.overShare ? OVER_SHARE_PENALTY_NANOS : 0) - job.arrivedAt);
    /** Requests that wait for room at a cache server, last arrival first; may contain finished requests. */
    private final PriorityQueue<Job> awaitingRoom = Job.queue(job -> -job.arrivedAt);
    /** For each key that is being fetched, the request whose fetch other requests may wait for. */
    private final Map<Long, Job> fetches = new HashMap<>();

    /** Adds a new request, which is checked when it is due. */
    void add(Job job) {
        jobs.put(job.asked.request(), job);
        byDueTime.add(job);
    }

    /** Returns an open request by its number; null if the request is unknown or has its final answer. */
    Job get(long request) {
        return jobs.get(request);
    }

    /** Removes and returns a request that is due at {@code now}; null if there is none. */
    Job pollDue(long now) {
        return !byDueTime.isEmpty() && byDueTime.first().dueAt <= now ? byDueTime.pollFirst() : null;
    }

    /** Schedules the next check of a request for the time at which it must be declined. */
    void recheckAtGiveUp(Job job) {
        job.dueAt = job.giveUpAt;
        byDueTime.add(job);
    }

    /** Removes a request that has its final answer, and resumes the requests that waited for its fetch. */
    void finish(Job job, long now) {
        job.done = true;
        jobs.remove(job.asked.request());
        byDueTime.remove(job);
        if (job.followers == null) {
            return;
        }
        fetches.remove(job.asked.key());
        job.followers.forEach(follower -> delay(follower, now));
    }

    /** Schedules a request to be routed again at a later time. */
    void delay(Job job, long until) {
        job.resumeAt = until;
        delayed.add(job);
    }

    /** Removes and returns a delayed request whose time has come; null if there is none. */
    Job pollDelayed(long now) {
        return !delayed.isEmpty() && delayed.peek().resumeAt <= now ? delayed.poll() : null;
    }

    /**
     * Returns the request whose fetch of the key is in progress. If there is none, the given request becomes the one
     * that fetches the key for others, and is returned.
     */
    Job joinFetch(Job job) {
        Job leader = fetches.putIfAbsent(job.asked.key(), job);
        if (leader != null) {
            return leader;
        }
        job.followers = new ArrayList<>();
        return job;
    }

    /**
     * Treats the request that leads a fetch as within its tenant's share, because a request within its share has joined
     * the fetch. Otherwise the joined request would wait behind all others within their shares.
     */
    void promoteToWithinShare(Job leader) {
        boolean waits = awaitingSupply.remove(leader);
        leader.overShare = false;
        if (waits) {
            awaitingSupply.add(leader);
        }
    }

    /** Queues a request until there is supply for it. */
    void awaitSupply(Job job) {
        awaitingSupply.add(job);
    }

    /** Returns the first request in the queue for supply, without removing it; null if the queue is empty. */
    Job firstAwaitingSupply() {
        return awaitingSupply.peek();
    }

    void removeFirstAwaitingSupply() {
        awaitingSupply.poll();
    }

    /** Queues a request until a cache server has room for it. */
    void awaitRoom(Job job) {
        awaitingRoom.add(job);
    }

    /** Removes and returns the first request in the queue for room at a cache server; null if the queue is empty. */
    Job pollAwaitingRoom() {
        return awaitingRoom.poll();
    }

    /**
     * Removes finished requests from the queues. In a lasting shortage they lie behind later arrivals, so that they are
     * never polled and would fill the memory.
     */
    void dropFinished() {
        for (PriorityQueue<Job> queue : List.of(awaitingSupply, awaitingRoom)) {
            queue.removeIf(job -> job.done);
        }
    }
}
