package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The commands that concern the API server itself, and how it is troubled. */
final class ApiCommands {
    private static final int MILLION = 1_000_000;

    private ApiCommands() {}

    /** Reads a line whose first word was read; null if it is none of these. */
    static Command read(String verb, Words words) {
        return switch (verb) {
            case "tokens" -> tokens(words);
            case "forbid" -> {
                boolean all = words.nextYes("forbid");
                yield server -> server.forbid(all);
            }
            case "answer" -> {
                int code = (int) words.nextNumber("status", 400, 599);
                int times = (int) words.namedNumber("times", 1, 1, MILLION);
                int retry = (int) words.namedNumber("retry", 0, 0, 3_600);
                yield server -> server.answerWith(code, times, retry);
            }
            case "delay" -> {
                long nanos = words.nextTime("delay");
                yield server -> server.delay(nanos);
            }
            case "silence" -> {
                boolean all = words.nextYes("silence");
                yield server -> server.silence(all);
            }
            case "down" -> ApiServer::down;
            case "up" -> ApiServer::up;
            case "compact" -> ApiServer::compact;
            case "expire" -> ApiServer::expire;
            case "end-watches" -> ApiServer::endWatches;
            case "gone" -> {
                boolean answer = words.next("gone", "answer", "event").equals("answer");
                yield server -> server.goneAsAnswer(answer);
            }
            case "bookmark" -> {
                long back = words.namedNumber("back", 0, 0, MILLION);
                yield server -> server.bookmark(back);
            }
            case "blank" -> {
                boolean empty = words.nextYes("blank");
                yield server -> server.blank(empty);
            }
            case "chunks" -> {
                int bytes = (int) words.nextNumber("bytes", 1, 1 << 24);
                yield server -> server.chunks(bytes);
            }
            case "cut" -> cut(words);
            case "stall" -> {
                boolean stop = words.nextYes("stall");
                yield server -> server.stall(stop);
            }
            case "duplicate" -> {
                int changes = (int) words.nextNumber("changes", 0, MILLION);
                yield server -> server.duplicate(changes);
            }
            case "swap" -> {
                int pairs = (int) words.nextNumber("pairs", 0, MILLION);
                yield server -> server.swap(pairs);
            }
            case "late" -> {
                long nanos = words.nextTime("late");
                yield server -> server.late(nanos);
            }
            case "garbage" -> {
                Garbage what = Garbage.valueOf(
                        words.next("garbage", "text", "json", "event", "chunk").toUpperCase(Locale.ROOT));
                yield server -> server.garble(what);
            }
            case "await" -> new Await((int) words.namedNumber("watches", 1, 1, 1_000));
            case "end" -> server -> {};
            default -> null;
        };
    }

    private static Command tokens(Words words) {
        List<String> allowed = new ArrayList<>();
        while (words.hasNext()) {
            allowed.add(words.next("token"));
        }
        return server -> server.tokens(allowed);
    }

    private static Command cut(Words words) {
        String what = words.next("what is cut", "watch", "list", "all");
        boolean byReset = words.namedOneOf("by", "end", "end", "reset").equals("reset");
        if (what.equals("watch")) {
            Cut where = Cut.valueOf(
                    words.namedOneOf("at", "object", "object", "head", "letter").toUpperCase(Locale.ROOT));
            return server -> server.cutWatches(where, byReset);
        }
        long after = words.namedNumber("after", 0, 0, 100 * MILLION);
        return what.equals("list") ? server -> server.cutList(after, byReset) : server -> server.cut(after, byReset);
    }
}
