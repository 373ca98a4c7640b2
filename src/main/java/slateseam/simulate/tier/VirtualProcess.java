package slateseam.simulate.tier;

import java.util.ArrayDeque;
import java.util.Deque;
import slateseam.tier.agreement.DurableState;

/** A router's process through its lives, and its disk, on the virtual clock. What it runs is its subclass's. */
abstract class VirtualProcess {
    /** Between two ticks, in nanoseconds. */
    static final long TICK = 50_000_000L;
    /** Datagrams that a process which stands still has waiting; further ones are lost. */
    private static final int MOST_INBOX = 2_000;

    final int index;
    final VirtualMemory memory = new VirtualMemory();
    int life;
    boolean paused;
    private final TierNet net;
    private final Deque<Runnable> inbox = new ArrayDeque<>();

    VirtualProcess(TierNet net, int index) {
        this.net = net;
        this.index = index;
    }

    /** Whether it runs. */
    abstract boolean isUp();

    /** Changes up to this number are on its disk for good. */
    abstract void persisted(long number);

    /** Writes a change to its disk, of which this life is told once it lasts. */
    public void persist(long number, DurableState.Change change) {
        memory.write(change);
        int of = life;
        int size = memory.size();
        net.after(memory.forceNanos, () -> {
            if (life == of && isUp()) {
                memory.force(size);
                persisted(number);
            }
        });
    }

    /** Something comes: it is handled at once, or when the process goes on. */
    final void arrives(Runnable handling) {
        if (!isUp()) {
            return;
        }
        if (!paused) {
            handling.run();
        } else if (inbox.size() < MOST_INBOX) {
            inbox.add(handling);
        }
    }

    /** Handles what has come while it stood still; {@code afterEach} is run after each. */
    final void catchUp(Runnable afterEach) {
        while (!inbox.isEmpty() && isUp()) {
            inbox.poll().run();
            afterEach.run();
        }
    }

    /** A life begins. */
    final void begins() {
        life++;
        paused = false;
        inbox.clear();
    }

    /** The power is cut, or the process is killed: its life ends, and its disk loses what was not forced. */
    final void ends() {
        life++;
        memory.cut();
    }

    /** Runs this at each tick of the present life in which it does not stand still. */
    final void tick(long in, Runnable work) {
        int of = life;
        net.after(in, () -> {
            if (life != of || !isUp()) {
                return;
            }
            if (!paused) {
                work.run();
            }
            tick(TICK, work);
        });
    }
}
