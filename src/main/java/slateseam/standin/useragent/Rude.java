package slateseam.standin.useragent;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import slateseam.standin.Clockwork;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** One rude user agent: does what its kind does, again and again over new connections, until its time is over. */
final class Rude {
    private static final long MILLI = 1_000_000L;
    private static final int COMMANDS = 300;
    private static final int CHUNKS = 64;
    private static final int CHUNK = 4096;
    private static final long CHUNK_NANOS = 20 * MILLI;

    private final RudeKind kind;
    private final Surroundings at;
    private final UserAgentFigures beside;
    private final Entry entry;
    private final Supplier<String> openId;
    private final UniformRandomProvider random;
    private final Clockwork clock;
    private final long until;

    /**
     * Creates one that uses the machine of a user agent that behaves.
     *
     * @param openId the id of a request of somebody else's that is out; may give null
     * @param until Unix time in nanoseconds
     */
    Rude(
            RudeKind kind,
            Surroundings at,
            UserAgentFigures beside,
            Entry entry,
            Supplier<String> openId,
            UniformRandomProvider random,
            long until) {
        this.kind = kind;
        this.at = at;
        this.beside = beside;
        this.entry = beside.router() == null ? entry : beside::router;
        this.openId = openId;
        this.random = random;
        this.clock = at.clock();
        this.until = until;
    }

    /** Opens a connection, unless the time is over. */
    void begin() {
        if (clock.now() < until) {
            String router = entry.router();
            if (router == null) {
                again();
            } else {
                Line line = new Line(router);
                line.wire = at.net().connect(beside.address(), router, line);
            }
        }
    }

    /** Begins anew after 20 to 120 ms. */
    private void again() {
        clock.at(clock.now() + 20 * MILLI + (long) (100 * MILLI * random.nextDouble()), this::begin);
    }

    private String id() {
        return Mix.hex(random.nextLong());
    }

    private String key() {
        return at.popularity().key(at.popularity().rank(random.nextDouble()), clock.now() - at.begin());
    }

    /** The facts of a plain request of a class, with a deadline as it is given. */
    private String facts(String name, String deadline) {
        String tenant =
                at.tenants().isEmpty() ? "" : ",t=" + at.tenants().get(0).name();
        return "c=" + name + tenant + (deadline == null ? "" : ",d=" + deadline);
    }

    private ClassFigures readable() {
        return at.classes().stream()
                .filter(one -> !one.write())
                .findFirst()
                .orElse(at.classes().get(0));
    }

    private byte[] plain() {
        ClassFigures one = readable();
        return Command.get(key(), id(), facts(one.name(), Long.toString(one.deadlineNanos() / MILLI)));
    }

    private byte[] badLength() {
        String[] all = {
            "*-5\r\n",
            "*0\r\n",
            "*4\r\n$-7\r\n",
            "*4\r\n$99999999999\r\n",
            "*99999999\r\n",
            "*4\r\n$9\r\nCACHE.GET\r\n$3\r\nabcdefgh\r\n$2\r\nid\r\n$4\r\nc=xy\r\n",
            "*4\r\n$seven\r\n",
            "*4\r\n$9\r\nCACHE.GETxx",
            "GET / HTTP/1.1\r\n\r\n"
        };
        return Command.bytes(all[random.nextInt(all.length)]);
    }

    private byte[] badDeadline() {
        String[] all = {"soon", "-5", "99999999999999999999", "", "1e3", null};
        return Command.get(key(), id(), facts(readable().name(), all[random.nextInt(all.length)]));
    }

    private byte[] withoutId() {
        String facts = facts(readable().name(), "500");
        return switch (random.nextInt(3)) {
            case 0 -> Command.of(Command.bytes("CACHE.GET"), Command.bytes(key()), Command.bytes(facts));
            case 1 -> Command.get(key(), "", facts);
            default -> Command.of(Command.bytes("CACHE.SET"), Command.bytes(key()));
        };
    }

    private byte[] sameId(String router) {
        String taken = openId.get();
        if (taken != null) {
            at.outcomes().borrowed(taken, router, clock.now());
        }
        ClassFigures one = readable();
        return Command.get(
                key(), taken == null ? id() : taken, facts(one.name(), Long.toString(one.deadlineNanos() / MILLI)));
    }

    private byte[] half() {
        byte[] whole = plain();
        byte[] half = new byte[1 + random.nextInt(whole.length - 1)];
        System.arraycopy(whole, 0, half, 0, half.length);
        return half;
    }

    private static byte[] repeated(Supplier<byte[]> command, int times) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < times; i++) {
            out.writeBytes(command.get());
        }
        return out.toByteArray();
    }

    /** One connection. */
    private final class Line implements Party {
        private final AnswerReader reader = new AnswerReader();
        private final String router;
        private Wire wire;
        private boolean over;
        private int sent;

        Line(String router) {
            this.router = router;
        }

        @Override
        public void opened(Wire opened) {
            switch (kind) {
                case SILENT -> {}
                case ENDLESS_LINE -> {
                    wire.write(Command.bytes("*4\r\n$9\r\nCACHE.GET\r\n$"));
                    chunk();
                }
                case BAD_LENGTH -> wire.write(badLength());
                case UNKNOWN_CLASS -> wire.write(Command.get(key(), id(), facts("nobody-knows", "500")));
                case BAD_DEADLINE -> wire.write(badDeadline());
                case NO_ID -> wire.write(withoutId());
                case SAME_ID -> wire.write(sameId(router));
                case HALF_SILENT -> wire.write(half());
                case HALF_CLOSED -> {
                    wire.write(half());
                    close(random.nextBoolean());
                }
                case PIPELINE -> wire.write(repeated(Rude.this::plain, COMMANDS));
                case HAMMER -> wire.write(plain());
            }
        }

        /** The next part of a line that has no end. */
        private void chunk() {
            if (!over && sent++ < CHUNKS && clock.now() < until) {
                byte[] digits = new byte[CHUNK];
                Arrays.fill(digits, (byte) '1');
                wire.write(digits);
                clock.at(clock.now() + CHUNK_NANOS, this::chunk);
            }
        }

        @Override
        public void received(Wire from, byte[] bytes) {
            for (Answer answer : reader.take(bytes)) {
                if (over) {
                    return;
                }
                sent++;
                if (clock.now() >= until) {
                    close(true);
                } else if (kind == RudeKind.HAMMER) {
                    hammer(answer);
                } else if (kind != RudeKind.PIPELINE || sent >= COMMANDS) {
                    close(true);
                }
            }
        }

        /** Asks again at once if it was turned away, else a little later. */
        private void hammer(Answer answer) {
            if (answer.kind() == Answer.Kind.UNAVAILABLE) {
                wire.write(plain());
            } else {
                clock.at(clock.now() + 50 * MILLI, () -> {
                    if (!over) {
                        wire.write(plain());
                    }
                });
            }
        }

        private void close(boolean inOrder) {
            if (!over) {
                over = true;
                if (inOrder) {
                    wire.end();
                } else {
                    wire.reset();
                }
                again();
            }
        }

        @Override
        public void ended(Wire from) {
            if (over) {
                from.end();
            } else {
                close(true);
            }
        }

        @Override
        public void broken(Wire from) {
            if (!over) {
                over = true;
                again();
            }
        }
    }
}
