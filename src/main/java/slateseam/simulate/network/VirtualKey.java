package slateseam.simulate.network;

import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.AbstractSelectionKey;

/** A channel's registration; it is in its selector's list while the channel may be ready for what is wanted of it. */
final class VirtualKey extends AbstractSelectionKey {
    private final SelectableChannel channel;
    private final Readiness readiness;
    private final VirtualSelector selector;
    private final long number;
    private int interest;
    private int ready;
    private boolean listed;

    VirtualKey(SelectableChannel channel, Readiness readiness, VirtualSelector selector, long number) {
        this.channel = channel;
        this.readiness = readiness;
        this.selector = selector;
        this.number = number;
    }

    /** In the order of registration. */
    long number() {
        return number;
    }

    @Override
    public SelectableChannel channel() {
        return channel;
    }

    @Override
    public Selector selector() {
        return selector;
    }

    @Override
    public int interestOps() {
        check();
        return interest;
    }

    @Override
    public SelectionKey interestOps(int operations) {
        check();
        if ((operations & ~channel.validOps()) != 0) {
            throw new IllegalArgumentException("operations " + operations);
        }
        interest = operations;
        changed();
        return this;
    }

    @Override
    public int readyOps() {
        check();
        return ready;
    }

    private void check() {
        if (!isValid()) {
            throw new CancelledKeyException();
        }
    }

    /** What is wanted or what is ready has changed. */
    void changed() {
        if (!listed && isValid() && (interest & readiness.operations()) != 0) {
            listed = true;
            selector.list(this);
        }
    }

    /** Taken from the list: notes what is ready now. */
    void unlist() {
        listed = false;
        ready = readiness.operations();
    }

    /** Whether, of what was noted, something is wanted now; only that is then told as ready. */
    boolean isWanted() {
        ready &= interest;
        return isValid() && ready != 0;
    }
}
