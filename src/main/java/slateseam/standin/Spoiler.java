package slateseam.standin;

import org.apache.commons.rng.UniformRandomProvider;

/** Writes answers with a value, spoilt or not, in the form of either protocol. */
final class Spoiler {
    private static final int NOISE_BYTES = 64;
    private static final int MISSING_BYTES = 64;
    private static final long HUGE = 3_000_000_000L;

    private final Clockwork clock;
    private final UniformRandomProvider random;
    private final Tallies tallies;
    private Spoil spoil;

    Spoiler(Clockwork clock, UniformRandomProvider random, Tallies tallies) {
        this.clock = clock;
        this.random = random;
        this.tallies = tallies;
    }

    /** Spoils answers from now on; null for none. */
    void set(Spoil how) {
        spoil = how;
    }

    /** What is wrong with the next answer; null for nothing. */
    Spoil.Kind draw() {
        if (spoil == null || !Draws.chance(random, spoil.share())) {
            return null;
        }
        tallies.add(Tally.SPOILT);
        return spoil.kind();
    }

    /** Gives an exchange its answer, and what is to stand behind that. */
    void answer(Exchange exchange, Spoil.Kind kind, byte[] whole) {
        byte[] behind = kind == Spoil.Kind.SECOND_COPY ? whole : kind == Spoil.Kind.NOISE_BEHIND ? noise() : null;
        if (behind == null) {
            exchange.answer(whole);
        } else if (spoil.behindNanos() == 0) {
            exchange.answer(Answers.join(whole, behind));
        } else {
            long delay = spoil.behindNanos();
            exchange.answer(whole);
            clock.at(clock.now() + delay, () -> exchange.link.writeBehind(behind));
        }
    }

    /** An application server's answer: the value, how it went, the load report or null. */
    byte[] resp(Spoil.Kind kind, byte[] value, String how, String report) {
        if (kind == Spoil.Kind.NOISE) {
            return noise();
        } else if (kind == Spoil.Kind.ENDLESS_LINE) {
            return Answers.text("+" + "and so on ".repeat(400));
        }
        String last = kind == Spoil.Kind.UNREADABLE_REPORT
                ? "!!\u0001\u00ff"
                : report == null ? "$-1" : "$" + report.length() + "\r\n" + report;
        String second = how == null ? "$-1" : "$" + how.length() + "\r\n" + how;
        return Answers.join(
                Answers.text("*3\r\n$" + length(kind, value.length) + "\r\n"),
                value,
                Answers.text("\r\n" + second + "\r\n" + last + "\r\n"));
    }

    /** The origin's answer with a value. */
    byte[] http(Spoil.Kind kind, byte[] value, String report, boolean chunked) {
        if (kind == Spoil.Kind.NOISE) {
            return noise();
        }
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        if (kind == Spoil.Kind.ENDLESS_LINE) {
            return Answers.text(
                    head.append("X-Filler: ").append("and so on ".repeat(1_000)).toString());
        }
        if (kind == Spoil.Kind.UNREADABLE_REPORT) {
            head.append("X-Backend-Load: ;;=\u0001\u00ff,")
                    .append("0".repeat(3_000))
                    .append("\r\n");
        } else if (report != null) {
            head.append("X-Backend-Load: ").append(report).append("\r\n");
        }
        boolean asked = kind == null || kind.isGood();
        if (chunked && asked) {
            return Answers.join(
                    Answers.text(
                            head.append("Transfer-Encoding: chunked\r\n\r\n").toString()),
                    Answers.chunks(value));
        }
        if (kind == Spoil.Kind.SHORT_LENGTH) {
            head.append("Content-Length: ").append(value.length).append("\r\n");
        }
        head.append("Content-Length: ").append(length(kind, value.length)).append("\r\n\r\n");
        return Answers.join(Answers.text(head.toString()), value);
    }

    private static long length(Spoil.Kind kind, int good) {
        if (kind == Spoil.Kind.SHORT_LENGTH) {
            return good - 1;
        } else if (kind == Spoil.Kind.LONG_LENGTH) {
            return good + MISSING_BYTES;
        }
        return kind == Spoil.Kind.HUGE_LENGTH ? HUGE : good;
    }

    /** Begins with no byte that begins an answer, and ends as a line does, so that it can be told at once. */
    private byte[] noise() {
        byte[] noise = new byte[NOISE_BYTES];
        random.nextBytes(noise);
        noise[0] = 0x15;
        noise[NOISE_BYTES - 2] = '\r';
        noise[NOISE_BYTES - 1] = '\n';
        return noise;
    }
}
