package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.List;
import slateseam.standin.Clockwork;
import slateseam.standin.Witness;
import slateseam.standin.World;

/**
 * Changes of a cluster and trouble of its API at set times, read from text: a line {@code at TIME COMMAND ...} each, in
 * the order of their times; {@code #} at the start of a line or behind white space begins a comment. A script that was
 * read has been played once against a server that nobody asks, so that each name in it is known to exist when used.
 */
public final class Script {
    private static final int MOST_LINES = 10_000;
    /** How often a script that waits looks whether it may go on. */
    private static final long LOOK_NANOS = 1_000_000;

    private record Step(int line, long time, Command command) {}

    private final List<Step> steps = new ArrayList<>();

    private Script() {}

    /** Reads a script and tries it out. */
    public static Script read(String text) throws InvalidScriptException {
        Script script = new Script();
        String[] lines = text.split("\r?\n");
        if (lines.length > MOST_LINES) {
            throw new InvalidScriptException(MOST_LINES + 1, "there are too many lines");
        }
        for (int i = 0; i < lines.length; i++) {
            String line = lines[i].replaceFirst("(^|\\s)#.*", "").strip();
            if (!line.isEmpty()) {
                script.add(i + 1, line);
            }
        }
        script.rehearse();
        return script;
    }

    private void add(int number, String line) throws InvalidScriptException {
        try {
            Words words = new Words(line);
            words.next("at", "at");
            long time = words.nextTime("time");
            if (!steps.isEmpty() && time < steps.get(steps.size() - 1).time) {
                throw new IllegalArgumentException("the time lies before that of the line before");
            }
            String verb = words.next("command");
            Command command = ClusterCommands.read(verb, words);
            command = command == null ? ApiCommands.read(verb, words) : command;
            if (command == null) {
                throw new IllegalArgumentException("there is no command " + verb);
            }
            words.end();
            steps.add(new Step(number, time, command));
        } catch (IllegalArgumentException e) {
            throw new InvalidScriptException(number, e.getMessage());
        }
    }

    private void rehearse() throws InvalidScriptException {
        Rehearsal rehearsal = new Rehearsal();
        World world = new World(rehearsal, rehearsal, new Witness() {});
        ApiServer server = new ApiServer("rehearsal", ApiFigures.USUAL, world, new Cluster("rehearsal", rehearsal, 1));
        int[] line = new int[1];
        for (Step step : steps) {
            rehearsal.at(step.time, () -> {
                line[0] = step.line;
                step.command.run(server);
            });
        }
        try {
            rehearsal.run();
        } catch (IllegalArgumentException e) {
            throw new InvalidScriptException(line[0], e.getMessage());
        }
    }

    /** When its last line is played, in nanoseconds after its start, if it waits for nobody. */
    public long lastNanos() {
        return steps.isEmpty() ? 0 : steps.get(steps.size() - 1).time;
    }

    /** Plays it from now on, on the server's clock; behind the last line the action is run. */
    public void play(ApiServer server, Runnable atEnd) {
        new Playing(server, atEnd).go();
    }

    private final class Playing {
        private final ApiServer server;
        private final Clockwork clock;
        private final Runnable atEnd;
        private long start;
        private int place;

        Playing(ApiServer server, Runnable atEnd) {
            this.server = server;
            this.clock = server.cluster().clock();
            this.atEnd = atEnd;
            this.start = clock.now();
        }

        void go() {
            while (place < steps.size()) {
                Step step = steps.get(place);
                if (start + step.time > clock.now()) {
                    clock.at(start + step.time, this::go);
                    return;
                }
                if (step.command instanceof Await await && !await.isMet(server)) {
                    start += LOOK_NANOS;
                    continue;
                }
                place++;
                step.command.run(server);
            }
            atEnd.run();
        }
    }
}
