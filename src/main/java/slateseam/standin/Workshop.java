package slateseam.standin;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * Cores that share out among the jobs in slots, and a waiting room before them. A clock of its own counts the work that
 * each job in a slot has got, so that one timer, for the job that is done next, is enough.
 */
final class Workshop {
    /** For what rounding to nanoseconds loses, in core seconds. */
    private static final double ROUNDING = 4e-9;

    /** Something to do. */
    abstract static class Job {
        private enum State {
            NEW,
            WAITING,
            IN_WORK,
            OVER
        }

        private State state = State.NEW;
        private boolean beside;
        private double finish;
        private long order;

        /** Its turn has come: returns its work in core seconds at speed 1, negative if there is no more need of it. */
        abstract double begin();

        /** The work is done. */
        abstract void done();

        boolean isWaiting() {
            return state == State.WAITING;
        }

        boolean isInWork() {
            return state == State.IN_WORK;
        }
    }

    private final Clockwork clock;
    private final Warmth warmth;
    private final double cores;
    private final double speed;
    private final int slots;
    private final int room;
    private final ServerFigures.Crowding crowding;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final PriorityQueue<Job> working = new PriorityQueue<>(
            Comparator.<Job>comparingDouble(job -> job.finish).thenComparingLong(job -> job.order));
    private int taken;
    private double slowness = 1;
    private double tax;
    /** Work that a job in a slot has got since the beginning, and when that was reckoned. */
    private double got;

    private long reckoned;
    private long orders;
    private long armed = Long.MAX_VALUE;
    private long arming;
    private boolean closed;

    Workshop(
            Clockwork clock,
            Warmth warmth,
            int cores,
            double speed,
            int slots,
            int room,
            ServerFigures.Crowding crowding) {
        this.clock = clock;
        this.warmth = warmth;
        this.cores = cores;
        this.speed = speed;
        this.slots = slots;
        this.room = room;
        this.crowding = crowding;
        this.reckoned = clock.now();
    }

    /** Jobs in slots and in the waiting room. */
    int held() {
        return taken + waiting.size();
    }

    int inWork() {
        return taken;
    }

    boolean isFull() {
        return taken >= slots && waiting.size() >= room;
    }

    /** Takes a job; the caller has seen that there is room. */
    void submit(Job job) {
        reckon();
        job.state = Job.State.WAITING;
        waiting.add(job);
        fill();
    }

    /** Takes work that needs no slot but shares the cores. */
    void beside(Job job) {
        reckon();
        job.beside = true;
        start(job, job.begin());
        arm();
    }

    /** Takes a job out, as if it had never come; whether it was there. */
    boolean remove(Job job) {
        if (job.state != Job.State.WAITING && job.state != Job.State.IN_WORK) {
            return false;
        }
        reckon();
        if (job.state == Job.State.WAITING) {
            waiting.remove(job);
        } else {
            working.remove(job);
            leave(job);
        }
        job.state = Job.State.OVER;
        fill();
        return true;
    }

    /** All work takes so many times as long from now on. */
    void slow(double factor) {
        reckon();
        slowness = factor;
        arm();
    }

    /** The part of the capacity that connections take. */
    void tax(double part) {
        reckon();
        tax = part;
        arm();
    }

    /** The machine is gone: no job is done any more. */
    void close() {
        closed = true;
    }

    private void fill() {
        if (closed) {
            return;
        }
        while (taken < slots && !waiting.isEmpty()) {
            Job job = waiting.poll();
            job.state = Job.State.OVER;
            double work = job.begin();
            if (work >= 0) {
                start(job, work);
            }
        }
        arm();
    }

    private void start(Job job, double work) {
        job.state = Job.State.IN_WORK;
        job.finish = got + work;
        job.order = orders++;
        working.add(job);
        taken += job.beside ? 0 : 1;
    }

    private void leave(Job job) {
        taken -= job.beside ? 0 : 1;
    }

    /** Core seconds that each job in work gets a second, when warm. */
    private double pace() {
        double crowd = Math.max(0, held() / cores - crowding.from());
        double shared = Math.min(1, cores / Math.max(1, working.size()));
        return speed * shared * (1 - tax) / slowness / (1 + crowding.loss() * crowd);
    }

    private void reckon() {
        long now = clock.now();
        if (now > reckoned) {
            if (!working.isEmpty()) {
                got += pace() * warmth.between(reckoned, now);
            }
            reckoned = now;
        }
    }

    private void arm() {
        Job next = working.peek();
        long due = next == null ? Long.MAX_VALUE : warmth.reaches(reckoned, Math.max(0, next.finish - got) / pace());
        if (due == armed) {
            return;
        }
        armed = due;
        long mine = ++arming;
        if (next != null) {
            clock.at(due, () -> {
                if (mine == arming && !closed) {
                    armed = Long.MAX_VALUE;
                    finish();
                }
            });
        }
    }

    private void finish() {
        reckon();
        for (Job job; !closed && (job = working.peek()) != null && job.finish <= got + ROUNDING; ) {
            working.poll();
            leave(job);
            job.state = Job.State.OVER;
            job.done();
        }
        if (!closed) {
            fill();
        }
    }
}
