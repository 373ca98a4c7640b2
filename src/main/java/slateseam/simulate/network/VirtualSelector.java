package slateseam.simulate.network;

import java.io.IOException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.AbstractSelectableChannel;
import java.nio.channels.spi.AbstractSelector;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A selector that never waits: a selection handles what is ready and returns. Its cost goes with what is ready, not
 * with what is registered. Only selections with an action are offered.
 */
final class VirtualSelector extends AbstractSelector {
    private final VirtualProvider process;
    private final Set<SelectionKey> keys = new LinkedHashSet<>();
    /** Keys that may be ready, in the order in which they became so. */
    private List<VirtualKey> listed = new ArrayList<>();

    private List<VirtualKey> spare = new ArrayList<>();
    private long registered;
    private boolean woken;

    VirtualSelector(VirtualProvider process) {
        super(process);
        this.process = process;
    }

    @Override
    protected SelectionKey register(AbstractSelectableChannel channel, int operations, Object attachment) {
        Readiness readiness = ((VirtualChannel) channel).readiness();
        VirtualKey key = new VirtualKey(channel, readiness, this, ++registered);
        key.attach(attachment);
        keys.add(key);
        readiness.registered(key);
        key.interestOps(operations);
        return key;
    }

    /** A key may be ready from now on. */
    void list(VirtualKey key) {
        listed.add(key);
        process.wake();
    }

    /** Whether a selection would find something, or was asked for. */
    boolean hasReady() {
        return woken || !listed.isEmpty();
    }

    @Override
    public int selectNow(Consumer<SelectionKey> action) throws IOException {
        if (!isOpen()) {
            throw new ClosedSelectorException();
        }
        woken = false;
        dropCancelled();
        List<VirtualKey> batch = listed;
        listed = spare;
        // What is ready is noted for all first, as a system does: one that is handled can take it from the next.
        for (VirtualKey key : batch) {
            key.unlist();
        }
        int handled = 0;
        for (int i = 0; i < batch.size(); i++) {
            VirtualKey key = batch.get(i);
            if (key.isWanted()) {
                action.accept(key);
                handled++;
                if (!isOpen()) {
                    throw new ClosedSelectorException();
                }
            }
            key.changed();
        }
        batch.clear();
        spare = batch;
        return handled;
    }

    /** Does away with cancelled keys, and with channels whose close waits for that, as each selection does first. */
    void dropCancelled() {
        Set<SelectionKey> cancelled = cancelledKeys();
        if (cancelled.isEmpty()) {
            return;
        }
        List<VirtualKey> gone = new ArrayList<>();
        for (SelectionKey key : cancelled) {
            gone.add((VirtualKey) key);
        }
        cancelled.clear();
        gone.sort(Comparator.comparingLong(VirtualKey::number)); // the set has no order of its own
        for (VirtualKey key : gone) {
            keys.remove(key);
            deregister(key);
            if (!key.channel().isOpen() && !key.channel().isRegistered()) {
                ((VirtualChannel) key.channel()).release();
            }
        }
    }

    @Override
    public int select(Consumer<SelectionKey> action, long timeout) throws IOException {
        return selectNow(action);
    }

    @Override
    public int select(Consumer<SelectionKey> action) throws IOException {
        return selectNow(action);
    }

    @Override
    public Selector wakeup() {
        woken = true;
        process.wake();
        return this;
    }

    @Override
    public Set<SelectionKey> keys() {
        return Collections.unmodifiableSet(keys);
    }

    @Override
    protected void implCloseSelector() {
        for (SelectionKey key : keys) {
            key.cancel();
        }
        dropCancelled();
        keys.clear();
    }

    @Override
    public Set<SelectionKey> selectedKeys() {
        throw new UnsupportedOperationException("only selections with an action");
    }

    @Override
    public int selectNow() {
        throw new UnsupportedOperationException("only selections with an action");
    }

    @Override
    public int select(long timeout) {
        throw new UnsupportedOperationException("only selections with an action");
    }

    @Override
    public int select() {
        throw new UnsupportedOperationException("only selections with an action");
    }
}
