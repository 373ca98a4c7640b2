package slateseam.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Function;

/** A clock by hand and a network on which everything takes half a millisecond. */
public final class Stage implements Clockwork, Net, Witness {
    public static final long MILLI = 1_000_000;
    public static final long SECOND = 1_000 * MILLI;
    private static final long WAY = MILLI / 2;

    private record Happening(long time, long order, Runnable action) {}

    final List<String> witnessed = new ArrayList<>();
    final Map<String, byte[]> made = new HashMap<>();
    public final World world = new World(this, this, this);
    private final PriorityQueue<Happening> happenings =
            new PriorityQueue<>(Comparator.comparingLong(Happening::time).thenComparingLong(Happening::order));
    private final Map<String, Function<Wire, Party>> listeners = new HashMap<>();
    private long now = 1_700_000_000 * SECOND;
    private long orders;

    @Override
    public long now() {
        return now;
    }

    @Override
    public void at(long time, Runnable action) {
        happenings.add(new Happening(Math.max(now, time), orders++, action));
    }

    /** Lets so much time pass. */
    public void pass(long nanos) {
        long end = now + nanos;
        while (!happenings.isEmpty() && happenings.peek().time <= end) {
            Happening next = happenings.poll();
            now = next.time;
            next.action.run();
        }
        now = end;
    }

    @Override
    public void listen(String address, Function<Wire, Party> listener) {
        listeners.put(address, listener);
    }

    @Override
    public void unlisten(String address) {
        listeners.remove(address);
    }

    @Override
    public Wire connect(String from, String to, Party party) {
        End here = new End(party);
        at(now + WAY, () -> {
            Function<Wire, Party> listener = listeners.get(to);
            if (listener == null) {
                at(now + WAY, () -> here.cut(false));
                return;
            }
            End there = new End(null);
            there.other = here;
            here.other = there;
            there.party = listener.apply(there);
            at(now + WAY, () -> here.party.opened(here));
        });
        return here;
    }

    /** Connects a router's hand to an address. */
    public Peer dial(String address) {
        Peer peer = new Peer();
        peer.wire = connect("router", address, peer);
        pass(MILLI);
        return peer;
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        witnessed.add("ran " + server + ' ' + id);
    }

    @Override
    public void dropped(String server, String id, String idempotencyKey) {
        witnessed.add("dropped " + server + ' ' + id);
    }

    @Override
    public void made(String server, String id, byte[] value) {
        made.put(id, value);
    }

    @Override
    public void fell(String server) {
        witnessed.add("fell " + server);
    }

    /** One side; what it sends is handed over after the way. */
    private final class End implements Wire {
        private Party party;
        private End other;
        private boolean ended;
        private boolean cut;

        End(Party party) {
            this.party = party;
        }

        @Override
        public long number() {
            return 0;
        }

        @Override
        public void write(byte[] bytes) {
            if (!ended && !cut) {
                End to = other;
                at(now + WAY, () -> {
                    if (!to.cut) {
                        to.party.received(to, bytes);
                    }
                });
            }
        }

        @Override
        public long unsent() {
            return 0;
        }

        @Override
        public void end() {
            if (!ended && !cut) {
                ended = true;
                End to = other;
                at(now + WAY, () -> {
                    if (!to.cut) {
                        to.party.ended(to);
                    }
                });
            }
        }

        @Override
        public void reset() {
            cut = true;
            End to = other;
            at(now + WAY, () -> to.cut(true));
        }

        void cut(boolean reset) {
            if (!cut) {
                cut = true;
                party.broken(this);
            }
        }

        @Override
        public void pause(boolean stop) {
            throw new UnsupportedOperationException("nothing here sends so much");
        }
    }

    /** A router's side of a connection, by hand. */
    public static final class Peer implements Party {
        final ByteArrayOutputStream got = new ByteArrayOutputStream();
        public Wire wire;
        public boolean up;
        public boolean ended;
        public boolean broken;

        /** Sends a text as it is. */
        public void say(String text) {
            wire.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Says a command. */
        void ask(String... words) {
            say(command(words));
        }

        /** What came since the last call. */
        public String heard() {
            String text = got.toString(StandardCharsets.ISO_8859_1);
            got.reset();
            return text;
        }

        @Override
        public void opened(Wire same) {
            up = true;
        }

        @Override
        public void received(Wire same, byte[] bytes) {
            got.writeBytes(bytes);
        }

        @Override
        public void ended(Wire same) {
            ended = true;
        }

        @Override
        public void broken(Wire same) {
            broken = true;
        }
    }

    static String command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }
}
