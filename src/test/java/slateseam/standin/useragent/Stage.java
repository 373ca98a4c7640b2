package slateseam.standin.useragent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Function;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** A clock moved by hand and a network on which everything takes 1 ms; routers on it do what a script says. */
final class Stage implements Net, Clockwork {
    static final long MILLI = 1_000_000L;

    private record Due(long time, long order, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Map<String, Function<Wire, Party>> listeners = new HashMap<>();
    private long now = 1_000_000 * MILLI;
    private long orders;
    private long wires;

    @Override
    public long now() {
        return now;
    }

    @Override
    public void at(long time, Runnable action) {
        queue.add(new Due(Math.max(time, now), orders++, action));
    }

    void runFor(long millis) {
        long end = now + millis * MILLI;
        while (!queue.isEmpty() && queue.peek().time <= end) {
            Due due = queue.poll();
            now = due.time;
            due.action.run();
        }
        now = end;
    }

    @Override
    public Wire connect(String from, String to, Party party) {
        End near = new End(party);
        at(now + MILLI, () -> {
            Function<Wire, Party> listener = listeners.get(to);
            if (listener == null) {
                near.open = false;
                party.broken(near);
                return;
            }
            End far = new End(null);
            near.other = far;
            far.other = near;
            far.party = listener.apply(far);
            far.party.opened(far);
            party.opened(near);
        });
        return near;
    }

    @Override
    public void listen(String address, Function<Wire, Party> listener) {
        listeners.put(address, listener);
    }

    @Override
    public void unlisten(String address) {
        listeners.remove(address);
    }

    private final class End implements Wire {
        private final long number = wires++;
        private Party party;
        private End other;
        private boolean open = true;
        private boolean ended;

        End(Party party) {
            this.party = party;
        }

        @Override
        public long number() {
            return number;
        }

        @Override
        public void write(byte[] bytes) {
            deliver(() -> other.party.received(other, bytes));
        }

        @Override
        public long unsent() {
            return 0;
        }

        @Override
        public void end() {
            deliver(() -> other.party.ended(other));
            ended = true;
        }

        @Override
        public void reset() {
            deliver(() -> {
                other.open = false;
                other.party.broken(other);
            });
            open = false;
        }

        @Override
        public void pause(boolean stop) {}

        private void deliver(Runnable action) {
            if (open && !ended && other != null) {
                End to = other;
                at(now + MILLI, () -> {
                    if (to.open) {
                        action.run();
                    }
                });
            }
        }
    }

    /** A router that notes what comes on each of its connections, and answers as a script says. */
    static final class Scripted {
        final List<Line> lines = new ArrayList<>();
        private final BiConsumer<Line, String> script;

        /** The script gets each piece of bytes as it comes, as text. */
        Scripted(Stage stage, String address, BiConsumer<Line, String> script) {
            this.script = script;
            stage.listen(address, wire -> {
                Line line = new Line(wire);
                lines.add(line);
                return line;
            });
        }

        /** All that came, over all connections, in the order of these. */
        List<String> commands() {
            return lines.stream().flatMap(line -> line.came.stream()).toList();
        }

        final class Line implements Party {
            final Wire wire;
            final List<String> came = new ArrayList<>();
            boolean ended;
            boolean broken;

            Line(Wire wire) {
                this.wire = wire;
            }

            void answer(String text) {
                wire.write(text.getBytes(StandardCharsets.ISO_8859_1));
            }

            @Override
            public void received(Wire from, byte[] bytes) {
                assertOpen();
                came.add(new String(bytes, StandardCharsets.ISO_8859_1));
                script.accept(this, came.get(came.size() - 1));
            }

            @Override
            public void ended(Wire from) {
                assertOpen();
                ended = true;
            }

            @Override
            public void broken(Wire from) {
                broken = true;
            }

            /** Guards against a stand-in that goes on behind its own close. */
            private void assertOpen() {
                if (ended || broken) {
                    throw new AssertionError("something came behind the close");
                }
            }
        }
    }
}
