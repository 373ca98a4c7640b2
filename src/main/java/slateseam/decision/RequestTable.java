package slateseam.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;

/** The requests that are owed an answer, and the queues in which they wait. */
final class RequestTable {
    private static final long BEHIND_ALL = 3600 * Timing.SECOND;
    private final Map<Long, Job> jobs = new HashMap<>();
    /** Open requests alone. */
    private final TreeSet<Job> byDueTime = new TreeSet<>(Job.order(job -> job.dueAt));

    private final PriorityQueue<Job> delayed = Job.queue(job -> job.wakeAt);
    /** Waiting for supply: work within shares first, then the latest, as it has time left for its aim. */
    private final PriorityQueue<Job> awaitingSupply =
            Job.queue(job -> (job.overShare ? BEHIND_ALL : 0) - job.arrivedAt);
    /** Waiting for room at a cache server, in the same order. */
    private final PriorityQueue<Job> awaitingRoom = Job.queue(job -> -job.arrivedAt);
    /** By key the request that fetches it for others too. */
    private final Map<Long, Job> fetches = new HashMap<>();

    /** Takes a new request, to be looked at when it is due. */
    void add(Job job) {
        jobs.put(job.asked.request(), job);
        byDueTime.add(job);
    }

    /** An open request; null if it has its answer. */
    Job get(long request) {
        return jobs.get(request);
    }

    /** Takes a request out that is due; null if none is. */
    Job pollDue(long now) {
        return !byDueTime.isEmpty() && byDueTime.first().dueAt <= now ? byDueTime.pollFirst() : null;
    }

    /** Puts a request back that is to be looked at again when it is to be given up. */
    void lookAgainAtGiveUp(Job job) {
        job.dueAt = job.giveUpAt;
        byDueTime.add(job);
    }

    /** The request has its answer; those that waited for its fetch go on. */
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

    /** Lets a request go on at a later time. */
    void delay(Job job, long until) {
        job.wakeAt = until;
        delayed.add(job);
    }

    /** Takes a delayed request out whose time has come; null if there is none. */
    Job pollDelayed(long now) {
        return !delayed.isEmpty() && delayed.peek().wakeAt <= now ? delayed.poll() : null;
    }

    /** Makes the request the one that fetches its key, unless there is one; returns whose fetch it is. */
    Job joinFetch(Job job) {
        Job leader = fetches.putIfAbsent(job.asked.key(), job);
        if (leader != null) {
            return leader;
        }
        job.followers = new ArrayList<>();
        return job;
    }

    /** Guards against work within its share that waits for a fetch which waits behind all such work. */
    void putAhead(Job leader) {
        boolean waits = awaitingSupply.remove(leader);
        leader.overShare = false;
        if (waits) {
            awaitingSupply.add(leader);
        }
    }

    /** Lets a request wait for supply. */
    void awaitSupply(Job job) {
        awaitingSupply.add(job);
    }

    /** The first that waits for supply; null if none does. */
    Job firstAwaitingSupply() {
        return awaitingSupply.peek();
    }

    void removeFirstAwaitingSupply() {
        awaitingSupply.poll();
    }

    /** Lets a request wait for room at a cache server. */
    void awaitRoom(Job job) {
        awaitingRoom.add(job);
    }

    /** Takes the first out that waits for room; null if none does. */
    Job pollAwaitingRoom() {
        return awaitingRoom.poll();
    }

    /** Guards the heap in a lasting shortage: what has its answer lies under what came later. */
    void dropFinished() {
        for (PriorityQueue<Job> queue : List.of(awaitingSupply, awaitingRoom)) {
            queue.removeIf(job -> job.done);
        }
    }
}
