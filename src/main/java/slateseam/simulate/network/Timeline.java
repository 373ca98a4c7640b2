package slateseam.simulate.network;

import java.util.Arrays;

/** What is to happen, by time; of one time, what was added first comes first. A binary heap in arrays. */
final class Timeline {
    private static final int FIRST_CAPACITY = 1 << 10;
    /** A simulation that has so much ahead of it has run away. */
    private static final int MOST = 1 << 26;

    private long[] times = new long[FIRST_CAPACITY];
    private long[] numbers = new long[FIRST_CAPACITY];
    private Runnable[] actions = new Runnable[FIRST_CAPACITY];
    private int size;
    private long added;

    /**
     * Adds a happening.
     *
     * @throws IllegalStateException if there are too many
     */
    void add(long time, Runnable action) {
        if (size == times.length) {
            if (size >= MOST) {
                throw new IllegalStateException(size + " happenings are to come");
            }
            times = Arrays.copyOf(times, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            actions = Arrays.copyOf(actions, 2 * size);
        }
        int hole = size++;
        // A new one has the highest number, so that it stays behind those of its time.
        while (hole > 0) {
            int parent = hole - 1 >>> 1;
            if (times[parent] <= time) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, time, added++, action);
    }

    /** The time of what comes next; {@link Long#MAX_VALUE} if nothing does. */
    long next() {
        return size == 0 ? Long.MAX_VALUE : times[0];
    }

    /** Takes what comes next; there must be something. */
    Runnable poll() {
        Runnable first = actions[0];
        int last = --size;
        long time = times[last];
        long number = numbers[last];
        Runnable action = actions[last];
        actions[last] = null;
        if (last > 0) {
            int hole = 0;
            for (int child = 1; child < last; child = 2 * hole + 1) {
                if (child + 1 < last && isBefore(times[child + 1], numbers[child + 1], child)) {
                    child++;
                }
                if (isBefore(time, number, child)) {
                    break;
                }
                move(child, hole);
                hole = child;
            }
            put(hole, time, number, action);
        }
        return first;
    }

    private boolean isBefore(long time, long number, int other) {
        return time < times[other] || time == times[other] && number < numbers[other];
    }

    private void move(int from, int to) {
        put(to, times[from], numbers[from], actions[from]);
    }

    private void put(int at, long time, long number, Runnable action) {
        times[at] = time;
        numbers[at] = number;
        actions[at] = action;
    }
}
