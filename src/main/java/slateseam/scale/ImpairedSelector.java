package slateseam.scale;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.AbstractSelectableChannel;
import java.nio.channels.spi.AbstractSelectionKey;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;
import java.util.function.Consumer;

/** The system's selector, with which the channels below impaired ones are registered in their place. */
final class ImpairedSelector extends AbstractSelector {
    private final Selector system;

    ImpairedSelector(SelectorProvider provider, Selector system) {
        super(provider);
        this.system = system;
    }

    @Override
    protected SelectionKey register(AbstractSelectableChannel channel, int operations, Object attachment) {
        SelectableChannel registered =
                channel instanceof ImpairedDatagramChannel impaired ? impaired.system() : channel;
        try {
            return (AbstractSelectionKey) registered.register(system, operations, attachment);
        } catch (IOException e) {
            throw new IllegalStateException("a channel was closed while it was registered", e);
        }
    }

    @Override
    public Set<SelectionKey> keys() {
        return system.keys();
    }

    @Override
    public Set<SelectionKey> selectedKeys() {
        return system.selectedKeys();
    }

    @Override
    public int selectNow() throws IOException {
        return system.selectNow();
    }

    @Override
    public int selectNow(Consumer<SelectionKey> action) throws IOException {
        return system.selectNow(action);
    }

    @Override
    public int select(long millis) throws IOException {
        return system.select(millis);
    }

    @Override
    public int select(Consumer<SelectionKey> action, long millis) throws IOException {
        return system.select(action, millis);
    }

    @Override
    public int select() throws IOException {
        return system.select();
    }

    @Override
    public Selector wakeup() {
        system.wakeup();
        return this;
    }

    @Override
    protected void implCloseSelector() throws IOException {
        system.close();
    }
}
