package slateseam.trial;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import slateseam.standin.Party;
import slateseam.standin.Wire;
import slateseam.standin.sockets.SocketNet;

/**
 * The ways of streams from a router to a server, the origin or its agent that a fault of the day troubles: a relay in each, on the
 * stand-ins' thread. What is held lies in the system's buffers, which push back: the relay itself keeps a bounded rest.
 */
final class StreamLinks {
    /** Not taken by the other side; beyond it nothing more is read. */
    private static final long MOST_UNSENT = 256 * 1024;

    private static final long LOOK_NANOS = 2_000_000L;

    private static final class Way {
        final String from;
        final String to;
        final String target;
        final String place;
        /** How many faults hold it now: in both directions, from the router, to it. */
        int held;

        int heldOut;
        int heldIn;
        int refused;
        /** Bytes a second that pass from the router, and to it; 0 for no bound. */
        double boundOut;

        double boundIn;
        final Set<Pipe> pipes = new LinkedHashSet<>();

        Way(String place, String from, String to, String target) {
            this.place = place;
            this.from = from;
            this.to = to;
            this.target = target;
        }
    }

    private final SocketNet net;
    private final Map<String, Way> ways = new LinkedHashMap<>();

    StreamLinks(SocketNet net) {
        this.net = net;
    }

    /**
     * Opens a relay and tells its place.
     *
     * @param from a router's name
     * @param to the name of whom it reaches so
     * @param target the place where that one listens
     */
    String open(String from, String to, String target) {
        String place = from + ">" + target;
        Way way = new Way(place, from, to, target);
        if (ways.putIfAbsent(place, way) == null) {
            listen(way);
        }
        return place;
    }

    private void listen(Way way) {
        net.listen(way.place, wire -> new Pipe(way.place, way, wire).near);
    }

    /** Refuses a router's new connections to another, or undoes one such fault; open ones stay. */
    void refuse(String from, String to, boolean on) {
        each(way -> way.from.equals(from) && way.to.equals(to), way -> {
            way.refused += on ? 1 : -1;
            if (on && way.refused == 1) {
                net.unlisten(way.place);
            } else if (way.refused == 0) {
                listen(way);
            }
        });
    }

    /** Takes what one sends to another and hands nothing on, or undoes one such fault; what was held then comes at once. */
    void stall(String sender, String receiver, boolean on) {
        each(way -> joins(way, sender, receiver), way -> {
            way.heldOut += !way.from.equals(sender) ? 0 : on ? 1 : -1;
            way.heldIn += !way.to.equals(sender) ? 0 : on ? 1 : -1;
            way.pipes.forEach(Pipe::settle);
        });
    }

    /** Lets so many bytes a second pass from one to another; 0 for as many as come. */
    void bound(String sender, String receiver, double bytes) {
        each(way -> joins(way, sender, receiver), way -> {
            way.boundOut = way.from.equals(sender) ? bytes : way.boundOut;
            way.boundIn = way.to.equals(sender) ? bytes : way.boundIn;
        });
    }

    /** Lets nothing pass between two in either direction, or undoes one such fault; what was held then comes at once. */
    void hold(String one, String other, boolean on) {
        each(way -> joins(way, one, other), way -> {
            way.held += on ? 1 : -1;
            way.pipes.forEach(Pipe::settle);
        });
    }

    /** Resets all connections between two, or with null for the other between one and all. */
    void reset(String one, String other) {
        each(way -> joins(way, one, other), way -> List.copyOf(way.pipes).forEach(Pipe::reset));
    }

    private static boolean joins(Way way, String one, String other) {
        return way.from.equals(one) && (other == null || way.to.equals(other))
                || way.to.equals(one) && (other == null || way.from.equals(other));
    }

    private void each(Predicate<Way> which, java.util.function.Consumer<Way> action) {
        ways.values().stream().filter(which).forEach(action);
    }

    /** A connection that is handed on by another. */
    private final class Pipe {
        final Way way;
        final Side near;
        final Side far;

        Pipe(String place, Way way, Wire accepted) {
            this.way = way;
            near = new Side(this, accepted, true);
            far = new Side(this, null, false);
            near.other = far;
            far.other = near;
            far.wire = net.connect(place, way.target, far);
            way.pipes.add(this);
            settle();
        }

        void settle() {
            near.settle();
            far.settle();
        }

        void reset() {
            way.pipes.remove(this);
            near.wire.reset();
            far.wire.reset();
        }
    }

    private final class Side implements Party {
        final Pipe pipe;
        /** Whether what comes here comes from the router. */
        final boolean out;

        Wire wire;
        Side other;
        private boolean full;
        private long boundUntil;

        Side(Pipe pipe, Wire wire, boolean out) {
            this.pipe = pipe;
            this.wire = wire;
            this.out = out;
        }

        void settle() {
            int held = pipe.way.held + (out ? pipe.way.heldOut : pipe.way.heldIn);
            wire.pause(held > 0 || full || net.now() < boundUntil);
        }

        /** Guards the bound on bytes a second: the next are read once these have had their time. */
        private void bound(int bytes) {
            double most = out ? pipe.way.boundOut : pipe.way.boundIn;
            if (most > 0) {
                boundUntil = Math.max(net.now(), boundUntil) + (long) (bytes * 1e9 / most);
                settle();
                net.at(boundUntil, () -> {
                    if (pipe.way.pipes.contains(pipe)) {
                        settle();
                    }
                });
            }
        }

        @Override
        public void received(Wire same, byte[] bytes) {
            other.wire.write(bytes);
            bound(bytes.length);
            if (!full && other.wire.unsent() > MOST_UNSENT) {
                full = true;
                settle();
                look();
            }
        }

        private void look() {
            if (other.wire.unsent() <= MOST_UNSENT / 2 || !pipe.way.pipes.contains(pipe)) {
                full = false;
                settle();
            } else {
                net.at(net.now() + LOOK_NANOS, this::look);
            }
        }

        @Override
        public void ended(Wire same) {
            other.wire.end();
        }

        @Override
        public void broken(Wire same) {
            pipe.way.pipes.remove(pipe);
            other.wire.reset();
        }
    }
}
