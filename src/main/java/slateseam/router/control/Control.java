package slateseam.router.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.useragent.Acceptor;

/**
 * The listener of the second address. It has few places, and descriptors kept back for them; a caller that sends nothing, or
 * half a call, never keeps out a real one: of those that are not whole the oldest goes for who comes.
 */
public final class Control implements Acceptor.Gate {
    /** Calls at once, those included that have their answer and have not closed yet. */
    private static final int PLACES = 24;
    /** What it holds at most: a place each, the listener, and one that is being taken in. */
    public static final int DESCRIPTORS = PLACES + 2;
    /** An answer is due within 1 s; a call that is not whole by then will not be. */
    private static final long CALL_NANOS = 900 * Clock.MILLI;

    private final Loop loop;
    private final Acceptor acceptor;
    private final Map<String, Map<String, Supplier<Reply>>> paths = new LinkedHashMap<>();
    /** The one that came first is first. */
    private final Set<Caller> callers = new LinkedHashSet<>();

    /** Listens at an address. */
    public Control(Loop loop, InetSocketAddress listen) throws IOException {
        this.loop = loop;
        this.acceptor = new Acceptor(loop, listen, this);
        acceptor.begin();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /** Says what a method of a path does. */
    public Control on(String method, String path, Supplier<Reply> action) {
        paths.computeIfAbsent(path, p -> new LinkedHashMap<>()).put(method, action);
        return this;
    }

    /** Stops listening. */
    public void close() throws IOException {
        acceptor.close();
    }

    /** Returns whether a call has no answer yet, or its caller has not closed; either lasts less than 1 s. */
    public boolean hasCallers() {
        return !callers.isEmpty();
    }

    @Override
    public boolean makeRoom() {
        while (callers.size() >= PLACES) {
            callers.iterator().next().giveWay();
        }
        return true;
    }

    @Override
    public void accept(SocketChannel channel) throws IOException {
        Caller caller = new Caller(channel);
        callers.add(caller);
        caller.begin();
    }

    private Reply answer(Call call) {
        if (call.fault() != 0) {
            return Reply.fault(call.fault(), null);
        }
        Map<String, Supplier<Reply>> methods = paths.get(call.path());
        if (methods == null) {
            return Reply.fault(404, null);
        }
        Supplier<Reply> action = methods.get(call.method());
        return action == null ? Reply.fault(405, String.join(", ", methods.keySet())) : action.get();
    }

    private final class Caller extends Connection {
        private Deadline limit;
        private boolean answered;

        Caller(SocketChannel channel) throws IOException {
            super(loop, channel);
        }

        void begin() {
            limit = loop.after(CALL_NANOS, () -> reply(Call.late()));
            poll(); // the call often lies there already
        }

        /** Makes room for another, after a last look whether it is a whole call. */
        void giveWay() {
            poll();
            breakOff();
            callers.remove(this);
        }

        private void reply(Call call) {
            answered = true;
            loop.cancel(limit);
            limit = loop.after(CALL_NANOS, this::breakOff);
            write(answer(call).bytes());
            linger(); // a body that nobody asked for must not turn the answer into a reset
        }

        @Override
        protected void received(ByteBuffer in) {
            Call call = answered ? null : Call.read(in);
            if (call != null) {
                reply(call);
            }
        }

        @Override
        protected void malformed(MalformedException e) {
            reply(Call.late());
        }

        @Override
        protected void broken() {
            loop.cancel(limit);
            callers.remove(this);
        }
    }
}
