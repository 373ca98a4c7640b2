package slateseam.simulate.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;

/** One side of a connection, as that side's system knows it. */
final class End {
    private enum State {
        CONNECTING,
        UP,
        GONE
    }

    private final VirtualNetwork net;
    private final long number;
    private final Machine machine;
    private final InetSocketAddress local;
    private final Flow out;
    private Flow in;
    private InetSocketAddress remote;
    /** Where it came to; null at the side that connects. */
    private final Listener listener;
    /** Null while it waits in the back-log, and after its close. */
    private Owner owner;

    private State state = State.CONNECTING;
    private boolean ended;
    private boolean closed;
    private boolean reset;
    private boolean destroyed;
    /** Whether this side broke it off, so that its owner hears nothing more. */
    private boolean silenced;
    /** Why it never came up. */
    private String failure;

    /** The side that connects. */
    End(
            VirtualNetwork net,
            long number,
            Machine machine,
            InetSocketAddress local,
            InetSocketAddress remote,
            Owner owner) {
        this.net = net;
        this.number = number;
        this.machine = machine;
        this.local = local;
        this.remote = remote;
        this.owner = owner;
        this.listener = null;
        this.out = new Flow(net, this);
        machine.ends.add(this);
    }

    /** The side that is connected to. */
    End(VirtualNetwork net, Listener listener, End client) {
        this.net = net;
        this.number = client.number;
        this.machine = listener.machine();
        this.local = client.remote;
        this.remote = client.local;
        this.listener = listener;
        this.out = new Flow(net, this);
        this.in = client.out;
        out.leadsTo(client);
        client.out.leadsTo(this);
        client.in = out;
    }

    long number() {
        return number;
    }

    Machine machine() {
        return machine;
    }

    InetSocketAddress local() {
        return local;
    }

    InetSocketAddress remote() {
        return remote;
    }

    void ownedBy(Owner other) {
        owner = other;
    }

    boolean isUp() {
        return state == State.UP;
    }

    /** Whether its system knows nothing of it any more. */
    boolean isGone() {
        return state == State.GONE;
    }

    /** Whether what comes for it is refused. */
    boolean isClosed() {
        return closed || state == State.GONE;
    }

    boolean isReset() {
        return reset;
    }

    /** Why it never came up; null if it may yet or did. */
    String failure() {
        return failure;
    }

    /** The connection that was begun here is up. */
    void up() {
        state = State.UP;
        net.digest().add(net.now(), number, Digest.UP, 0);
        for (Observer o : net.observers()) {
            o.up(number);
        }
        out.open();
        owner.up();
    }

    /** The connection that was begun here will never be up. */
    void failed(String why) {
        failure = why;
        gone();
        owner.failed();
    }

    /** The other side, which is up, has opened this one. */
    void opened() {
        if (state == State.CONNECTING) {
            state = State.UP;
            machine.ends.add(this);
            listener.admit(this);
        }
    }

    /** A handshake that came to nothing is forgotten. */
    void forget() {
        if (state == State.CONNECTING) {
            listener.withdraw();
            gone();
        }
    }

    /** Queues bytes, whatever room there is. */
    void write(byte[] bytes) {
        if (!ended && state != State.GONE) {
            for (Observer o : net.observers()) {
                o.sent(number, machine.ip, bytes);
            }
            out.write(bytes);
        }
    }

    /** Takes as much as there is room for, and at times less; returns how much. */
    long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        if (reset) {
            throw new IOException("Broken pipe");
        }
        long offered = 0;
        for (int i = offset; i < offset + length; i++) {
            offered += sources[i].remaining();
        }
        int most = (int) Math.min(offered, out.room());
        if (most < offered) {
            out.filled();
        }
        if (most == 0) {
            return 0;
        }
        int takes = machine.draws(net.conditions().streams().shortWrite()) ? machine.part(most) : most;
        byte[] bytes = new byte[takes];
        int at = 0;
        for (int i = offset; at < takes; i++) {
            int part = Math.min(takes - at, sources[i].remaining());
            sources[i].get(bytes, at, part);
            at += part;
        }
        write(bytes);
        return takes;
    }

    /** Whether a write would be taken, or would fail at once. */
    boolean isWritable() {
        return reset || state == State.UP && !out.isFull();
    }

    long unsent() {
        return out.unsent();
    }

    /** Whether a read would return something, the end or an error. */
    boolean isReadable() {
        return reset || in != null && (in.unread() > 0 || in.isEndArrived());
    }

    /** Reads what has come, and at times less; returns how much, or -1 at the end. */
    int read(ByteBuffer target) throws IOException {
        if (in.unread() == 0) {
            if (reset && (destroyed || !in.isEndArrived())) {
                throw new SocketException("Connection reset");
            }
            return in.isEndArrived() ? -1 : 0;
        }
        int most = Math.min(in.unread(), target.remaining());
        if (most == 0) {
            return 0;
        }
        byte[] bytes = in.take(machine.draws(net.conditions().streams().shortRead()) ? machine.part(most) : most);
        target.put(bytes);
        handed(bytes);
        settle();
        return bytes.length;
    }

    /** Takes the next piece whole; null if there is none. */
    byte[] take() {
        Segment next = in == null ? null : in.take();
        if (next == null) {
            return null;
        }
        byte[] bytes = next.exact();
        handed(bytes);
        return bytes;
    }

    private void handed(byte[] bytes) {
        net.digest().add(net.now(), number, Digest.HANDED, bytes.length);
        for (Observer o : net.observers()) {
            o.delivered(number, machine.ip, bytes);
        }
    }

    /** Whether the other side has ended and all before that has been taken. */
    boolean isAtEnd() {
        return !silenced && in != null && in.isEndArrived() && in.unread() == 0;
    }

    /** Ends the sending behind what was written. */
    void end() {
        if (!ended && state != State.GONE) {
            ended = true;
            for (Observer o : net.observers()) {
                o.endedBy(number, machine.ip);
            }
            out.end();
        }
    }

    /** Closes both directions; over what has not been read that is a reset. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        owner = null;
        if (state == State.CONNECTING) {
            for (Observer o : net.observers()) {
                o.endedBy(number, machine.ip);
            }
            gone();
        } else if (state == State.UP) {
            if (in.unread() > 0) {
                reset();
            } else {
                end();
                settle();
            }
        }
    }

    /** Breaks it off. */
    void reset() {
        if (state == State.UP) {
            refuse();
        } else {
            close();
        }
    }

    /** Answers what comes for nobody, and forgets the connection if it was known. */
    void refuse() {
        for (Observer o : net.observers()) {
            o.resetBy(number, machine.ip);
        }
        out.reset();
        silence();
    }

    /** Something between the two breaks it off. */
    void cut() {
        if (state == State.UP) {
            for (Observer o : net.observers()) {
                o.resetBy(number, "");
            }
            out.reset();
            wasReset(true);
        }
    }

    /** Its machine has forgotten it without a word. */
    void vanish() {
        out.abandon(true);
        silence();
    }

    /** The other side broke it off. */
    void wasReset(boolean destroys) {
        if (state == State.CONNECTING) {
            forget();
        } else if (state == State.UP) {
            reset = true;
            destroyed = destroys;
            out.abandon(false);
            if (destroys) {
                in.dropInput();
            }
            gone();
            if (owner != null) {
                owner.broke();
            }
        }
    }

    void inputChanged() {
        if (owner != null) {
            owner.inputChanged();
        }
    }

    void roomCame() {
        if (owner != null) {
            owner.roomCame();
        }
    }

    /** Forgets the connection once both directions have ended. */
    void settle() {
        if (state == State.UP && out.isEndSent() && in.isEndArrived() && (closed || in.unread() == 0)) {
            gone();
        }
    }

    private void silence() {
        silenced = true;
        owner = null;
        if (in != null) {
            in.dropInput();
        }
        gone();
    }

    private void gone() {
        state = State.GONE;
        if (machine.ends.remove(this) && listener == null) {
            machine.freePort(local.getPort());
        }
    }
}
