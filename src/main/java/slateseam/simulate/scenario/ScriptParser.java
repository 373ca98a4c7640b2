package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import slateseam.simulate.scenario.FaultKind.Targets;
import slateseam.simulate.scenario.Unit.Measure;
import slateseam.simulate.scenario.ValueParser.FaultyValueException;
import slateseam.standin.useragent.RudeKind;

/**
 * Reads a line of the script: {@code at TIME KIND [TARGET ...] [size SIZE] [for TIME]}, or with {@code when ROUTER says WORD} instead
 * of the time.
 */
final class ScriptParser {
    private static final String FORM = "at TIME KIND [TARGET ...] [size SIZE] [for TIME]";

    private static final String CUED = "when ROUTER says WORD KIND [TARGET ...] [size SIZE] [for TIME]";

    private final List<String> words;
    private int at;

    private ScriptParser(List<String> words) {
        this.words = words;
    }

    static Fault parse(String line) throws FaultyValueException {
        return new ScriptParser(Arrays.asList(line.split("\\s+"))).fault();
    }

    private Fault fault() throws FaultyValueException {
        if (next("when")) {
            return cued();
        }
        if (!next("at")) {
            throw new FaultyValueException("a line of the script is " + FORM + ", not " + words.get(0) + " ...");
        }
        return fault(nanos("at"));
    }

    private Fault cued() throws FaultyValueException {
        if (words.size() < at + 3 || !words.get(at + 1).equals("says")) {
            throw new FaultyValueException("a fault that waits for a line of a log is " + CUED);
        }
        Fault.Cue cue = new Fault.Cue(words.get(at), words.get(at + 2));
        at += 3;
        Fault fault = fault(0);
        if (fault.kind() == FaultKind.SURGE) {
            throw new FaultyValueException("surge waits for no line of a log: what user agents ask is drawn ahead");
        }
        return new Fault.Cued(cue, fault);
    }

    private Fault fault(long begins) throws FaultyValueException {
        if (at == words.size()) {
            throw new FaultyValueException("no kind of fault behind the time; a line of the script is " + FORM);
        }
        String word = words.get(at++);
        FaultKind kind = FaultKind.find(word);
        if (kind == null) {
            throw new FaultyValueException("there is no fault " + word + Nearest.hint(word, FaultKind.words()));
        }
        List<String> targets = targets(kind);
        double size = 0;
        long lasts = 0;
        boolean sized = false;
        boolean timed = false;
        while (at < words.size()) {
            if (!sized && next("size")) {
                size = size(kind);
                sized = true;
            } else if (!timed && next("for")) {
                if (!kind.lasts()) {
                    throw new FaultyValueException(word + " happens at once, so that it takes no 'for'");
                }
                lasts = nanos("for");
                timed = true;
            } else {
                throw new FaultyValueException(
                        words.get(at) + " does not belong there; a line of the script is " + FORM);
            }
        }
        if (kind.size() != null && !sized) {
            throw new FaultyValueException(word + " needs a size, as in size " + example(kind));
        }
        if (kind.lasts() && lasts <= 0) {
            throw new FaultyValueException(word + " needs the time that it lasts, as in for 5 s");
        }
        return Fault.of(kind, begins, begins + lasts, targets, size);
    }

    private static String example(FaultKind kind) {
        return kind.size() == Measure.FACTOR
                ? "4.5"
                : kind.size() == Measure.SIZE ? "64 KiB" : kind.size() == Measure.SHARE ? "35 %" : "800 ms";
    }

    private boolean next(String word) {
        boolean there = at < words.size() && words.get(at).equals(word);
        at += there ? 1 : 0;
        return there;
    }

    /** The figure that begins here, with its unit in the same word or the next. */
    private Value.Range figure(String word, Measure measure) throws FaultyValueException {
        if (at == words.size()) {
            throw new FaultyValueException("no figure behind " + word);
        }
        String text = words.get(at++);
        if (at < words.size() && Unit.find(words.get(at), measure) != null) {
            text += " " + words.get(at++);
        }
        Value.Range range = ValueParser.range(word, measure, text);
        if (range.low() != range.high()) {
            throw new FaultyValueException(word + " is " + text + ": the script takes no ranges");
        }
        return range;
    }

    private long nanos(String word) throws FaultyValueException {
        Value.Range range = figure(word, Measure.TIME);
        ValueParser.check(word, range, 0, 604_800e9, "0..604800 s");
        return Math.round(range.least());
    }

    private double size(FaultKind kind) throws FaultyValueException {
        if (kind.size() == null) {
            throw new FaultyValueException(kind.word() + " takes no size");
        }
        Value.Range range = figure("size", kind.size());
        Name name = Schema.of(kind).find("size");
        ValueParser.check("size", range, name.least(), name.most(), name.limits());
        return range.least();
    }

    private List<String> targets(FaultKind kind) throws FaultyValueException {
        List<String> targets = new ArrayList<>();
        while (at < words.size()
                && !words.get(at).equals("size")
                && !words.get(at).equals("for")) {
            String target = words.get(at++);
            if (targets.contains(target)) {
                throw new FaultyValueException(kind.word() + " names " + target + " twice");
            }
            if (kind.targets() == Targets.RUDE && RudeKind.find(target) == null) {
                throw new FaultyValueException("there is no rude user agent " + target
                        + Nearest.hint(
                                target,
                                Arrays.stream(RudeKind.values())
                                        .map(RudeKind::word)
                                        .toList()));
            }
            boolean routers = kind.targets() == Targets.ROUTER_PAIRS;
            if ((routers || kind.targets() == Targets.PAIRS) && target.split("~", -1).length != 2) {
                throw new FaultyValueException(target
                        + (routers
                                ? " is no pair of routers, as in router-1~router-2"
                                : " is no pair of machines, as in router-1~origin"));
            }
            targets.add(target);
        }
        if (kind.targets() == Targets.NONE && !targets.isEmpty()) {
            throw new FaultyValueException(kind.word() + " names nobody, but " + targets.get(0) + " stands there");
        }
        if (kind.targets() != Targets.NONE && targets.isEmpty()) {
            String example = switch (kind.targets()) {
                case SERVERS -> "big-1 big-2";
                case ROUTERS, MACHINES -> "router-1";
                case PAIRS -> "router-1~origin";
                case ROUTER_PAIRS -> "router-1~router-2";
                default -> "silent";
            };
            throw new FaultyValueException(kind.word() + " must name whom it befalls, as in " + example);
        }
        return targets;
    }
}
