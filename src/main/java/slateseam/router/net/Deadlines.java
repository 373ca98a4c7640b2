package slateseam.router.net;

import java.util.Arrays;

/**
 * All deadlines of the program, ordered by time; those of one time by when they were set. A heap in which each deadline
 * knows its place: nearly all are cancelled, and most are set later than all others, which costs a heap little.
 */
public final class Deadlines {
    private static final int FIRST = 64;
    private static final int GONE = -1;

    /** A deadline that was set and may be cancelled. */
    public static final class Deadline {
        private final long at;
        private final long number;
        private final Runnable action;
        private int place;

        private Deadline(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
            this.action = action;
        }

        private boolean isBefore(Deadline other) {
            return at < other.at || at == other.at && number < other.number;
        }
    }

    private Deadline[] heap = new Deadline[FIRST];
    private int size;
    private long numbers;

    Deadlines() {}

    Deadline set(long at, Runnable action) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        Deadline deadline = new Deadline(at, numbers++, action);
        up(size++, deadline);
        return deadline;
    }

    /** Cancels a deadline; null and one that has passed are ignored. */
    void cancel(Deadline deadline) {
        if (deadline != null && deadline.place != GONE) {
            remove(deadline);
        }
    }

    /** The time of the next deadline; {@link Long#MAX_VALUE} if there is none. */
    long next() {
        return size == 0 ? Long.MAX_VALUE : heap[0].at;
    }

    /** Takes the next deadline's action if it is due, else returns null. */
    Runnable due(long now) {
        if (next() > now) {
            return null;
        }
        Deadline due = heap[0];
        remove(due);
        return due.action;
    }

    private void remove(Deadline deadline) {
        int place = deadline.place;
        deadline.place = GONE;
        Deadline last = heap[--size];
        heap[size] = null;
        if (place == size) {
            return;
        }
        // The last one takes the place that is free, unless it belongs above or below.
        if (place > 0 && last.isBefore(heap[parent(place)])) {
            up(place, last);
        } else {
            down(place, last);
        }
    }

    private void up(int from, Deadline deadline) {
        int place = from;
        while (place > 0 && deadline.isBefore(heap[parent(place)])) {
            put(place, heap[parent(place)]);
            place = parent(place);
        }
        put(place, deadline);
    }

    private void down(int from, Deadline deadline) {
        int place = from;
        for (int child; (child = 2 * place + 1) < size; place = child) {
            if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
                child++;
            }
            if (!heap[child].isBefore(deadline)) {
                break;
            }
            put(place, heap[child]);
        }
        put(place, deadline);
    }

    private void put(int place, Deadline deadline) {
        heap[place] = deadline;
        deadline.place = place;
    }

    private static int parent(int place) {
        return (place - 1) / 2;
    }
}
