package slateseam.simulate.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ProtocolFamily;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A process on a machine of a virtual network: opens its channels and its one selector, and runs its program round by
 * round whenever a channel is ready, a wake-up was asked for or a deadline is due.
 */
public final class VirtualProvider extends SelectorProvider {
    private final VirtualNetwork net;
    private final Machine machine;
    /** In the order in which they were opened. */
    private final Set<VirtualChannel> channels = new LinkedHashSet<>();

    private int mostOpen;
    private final Runnable whenWoken = this::round;
    private final Runnable whenDue = this::timer;
    private VirtualSelector selector;
    /** Null until it is driven, and once it has ended. */
    private Program program;

    private boolean paused;
    private boolean scheduled;
    private boolean running;
    private long lastRound;
    private long timer = Long.MAX_VALUE;

    VirtualProvider(VirtualNetwork net, Machine machine) {
        this.net = net;
        this.machine = machine;
        this.lastRound = net.now();
        machine.processes.add(this);
    }

    VirtualNetwork net() {
        return net;
    }

    Machine machine() {
        return machine;
    }

    /** Runs a program from now on, whose selector this provider has opened, until a round says that it has ended. */
    public void drive(Program driven) {
        if (selector == null) {
            throw new IllegalStateException("no selector has been opened");
        }
        program = driven;
        afterRound();
    }

    /** Whether a program runs here. */
    public boolean isDriven() {
        return program != null;
    }

    /** Ends the process in order: its channels are closed as a system closes them, in the order of their opening. */
    public void exit() {
        over();
        try {
            for (VirtualChannel channel : List.copyOf(channels)) {
                ((Channel) channel).close();
            }
            if (selector != null) {
                selector.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process: its connections are reset, its listeners are gone, and its program never runs again. */
    public void kill() {
        over();
        List.copyOf(channels).forEach(VirtualChannel::kill);
        channels.clear();
    }

    private void over() {
        program = null;
        machine.processes.remove(this);
    }

    /** How many channels are open. */
    public int open() {
        return channels.size();
    }

    /** How many channels were open at once, at most. */
    public int mostOpen() {
        return mostOpen;
    }

    void opened(VirtualChannel channel) {
        channels.add(channel);
        mostOpen = Math.max(mostOpen, channels.size());
    }

    void closed(VirtualChannel channel) {
        channels.remove(channel);
    }

    /** Lets the program stand still, or go on with all that has come meanwhile. */
    public void pause(boolean stop) {
        paused = stop;
        if (!stop) {
            wake();
        }
    }

    /** A round is wanted. */
    void wake() {
        if (program != null && !scheduled && !running) {
            scheduled = true;
            net.at(lastRound + net.conditions().roundNanos(), whenWoken);
        }
    }

    private void round() {
        scheduled = false;
        if (program == null || paused) {
            return;
        }
        lastRound = net.now();
        running = true;
        boolean goesOn;
        try {
            goesOn = program.round();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            running = false;
        }
        if (!goesOn) {
            exit();
        } else if (program != null) {
            afterRound();
        }
    }

    private void afterRound() {
        selector.dropCancelled(); // a program would go on to wait in its selector
        if (selector.hasReady()) {
            wake();
        }
        long next = program.nextDeadline();
        if (next < timer) {
            timer = next;
            net.at(next, whenDue);
        }
    }

    private void timer() {
        timer = Long.MAX_VALUE;
        if (program != null) {
            if (program.nextDeadline() <= net.now()) {
                wake();
            } else {
                afterRound();
            }
        }
    }

    @Override
    public AbstractSelector openSelector() {
        if (selector != null) {
            throw new UnsupportedOperationException("a process has one selector");
        }
        selector = new VirtualSelector(this);
        return selector;
    }

    @Override
    public SocketChannel openSocketChannel() {
        return new VirtualSocketChannel(this);
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() {
        return new VirtualServerSocketChannel(this);
    }

    @Override
    public DatagramChannel openDatagramChannel() {
        return new VirtualDatagramChannel(this);
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) {
        return openDatagramChannel();
    }

    @Override
    public Pipe openPipe() {
        throw new UnsupportedOperationException("no pipes");
    }
}
