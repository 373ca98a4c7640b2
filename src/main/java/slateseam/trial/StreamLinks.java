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
        /** How many faults hold it now. */
        int held;
        final Set<Pipe> pipes = new LinkedHashSet<>();

        Way(String from, String to, String target) {
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
        Way way = new Way(from, to, target);
        if (ways.putIfAbsent(place, way) == null) {
            net.listen(place, wire -> new Pipe(place, way, wire).near);
        }
        return place;
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
            near = new Side(this, accepted);
            far = new Side(this, null);
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
        Wire wire;
        Side other;
        private boolean full;

        Side(Pipe pipe, Wire wire) {
            this.pipe = pipe;
            this.wire = wire;
        }

        void settle() {
            wire.pause(pipe.way.held > 0 || full);
        }

        @Override
        public void received(Wire same, byte[] bytes) {
            other.wire.write(bytes);
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
