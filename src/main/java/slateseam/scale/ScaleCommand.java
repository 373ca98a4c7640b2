package slateseam.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.trial.RunLine;

/** The command {@code scale}. */
public final class ScaleCommand {
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int LEAST_ROUTERS = 3;
    private static final int MOST_HOLLOW = 4_000;
    private static final int MOST_REAL = 8;
    private static final int MOST_THREADS = 8;
    private static final int MOST_SECONDS = 7_200;
    /** The zones of the size that is planned for; a group is as many routers as one has. */
    private static final int ZONES = 28;

    private static final String HELP = """
            usage: java -jar slateseam.jar scale run [--hollow N] [--real N] ...
              starts many hollow routers in this process (control alone, no requests) beside a few real processes, on loopback, and
              prints what control costs the real ones and how long they take to know a death and to hold a change of policy
            --hollow N           hollow routers (usual 50)
            --real N             real routers (usual 2, 1 to 8)
            --servers N          cache servers that discovery lists (usual 590)
            --threads N          on which hollow routers live (usual 2)
            --window S           for which cost is measured (usual 10)
            --turns N            measures all control, the ring alone and neither, so often in turn (usual 1, 0 for not at all)
            --changes N          changes of policy in calm (usual 3); --deaths N deaths in calm (usual 3)
            --faults A,B...      a phase each: restarts, group, halves, loss, slow-voter, replacements
            --fault-seconds S    how long such a phase lasts (usual 20)
            --group N            routers in a group that goes at once (usual: a 28th of all)
            --replacements N     in a phase of replacements (usual 210)
            --no-policy          members and the ring alone
            --join-seconds S     within which all must have seen all, and a group must have begun (usual 120)
            --most-seconds S     beyond which the run is given up (usual 900)
            --json FILE          the same figures with all values as JSON
            --keep DIR           configurations and logs go there and stay
            --deploy FILE        whose line `run` starts a real router (usual deploy/balancer.toml); --run LINE is one itself
            exit: 0 if it was measured, 1 if something broke or the machine was too busy, 2 if the command is wrong""";

    private ScaleCommand() {}

    /** Runs it: 0 if it was measured, 1 if it was spoilt or something broke, 2 for bad use. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        String command = args.length == 0 ? "" : args[0];
        try {
            if (List.of("help", "--help", "-h").contains(command)) {
                out.println(HELP);
                return 0;
            }
            if (!command.equals("run")) {
                throw new ParseException(command.isEmpty() ? "no command" : "unknown command " + command);
            }
            CommandLine line = new DefaultParser().parse(options(), Arrays.copyOfRange(args, 1, args.length));
            if (!line.getArgList().isEmpty()) {
                throw new ParseException("unexpected " + line.getArgList().get(0));
            }
            return play(settings(line), line, out, err);
        } catch (ParseException | IllegalArgumentException e) {
            err.println("slateseam: scale: " + e.getMessage());
            return USAGE;
        } catch (IOException | UncheckedIOException | IllegalStateException | InvalidConfigException e) {
            err.println("slateseam: scale: " + e.getMessage());
            return BROKEN;
        } catch (InterruptedException e) {
            return BROKEN; // everything was ended by who interrupted it
        }
    }

    private static Options options() {
        Options options = new Options();
        for (String option : new String[] {
            "hollow",
            "real",
            "servers",
            "threads",
            "window",
            "turns",
            "changes",
            "deaths",
            "faults",
            "fault-seconds",
            "group",
            "replacements",
            "join-seconds",
            "most-seconds",
            "json",
            "keep",
            "deploy",
            "run"
        }) {
            options.addOption(Option.builder().longOpt(option).hasArg().get());
        }
        return options.addOption(Option.builder().longOpt("no-policy").get());
    }

    static ScaleSettings settings(CommandLine line) throws ParseException {
        int hollow = number(line, "hollow", 50, 1, MOST_HOLLOW);
        int real = number(line, "real", 2, 1, MOST_REAL);
        if (hollow + real < LEAST_ROUTERS) {
            throw new ParseException("a tier wants " + LEAST_ROUTERS + " routers at least");
        }
        if (hollow < real) {
            throw new ParseException(
                    "--real is " + real + ", more than the hollow routers among which they are to stand");
        }
        List<ScaleFault> faults = new ArrayList<>();
        for (String word : line.getOptionValue("faults", "").split(",")) {
            if (!word.isBlank()) {
                faults.add(ScaleFault.of(word.strip()));
            }
        }
        return new ScaleSettings(
                hollow,
                real,
                number(line, "servers", 590, 1, 4_000),
                number(line, "threads", 2, 1, MOST_THREADS),
                number(line, "window", 10, 1, 600),
                number(line, "turns", 1, 0, 100),
                number(line, "changes", 3, 0, 100),
                number(line, "deaths", 3, 0, 100),
                faults,
                number(line, "fault-seconds", 20, 1, 3_600),
                number(line, "group", Math.max(1, (hollow + real) / ZONES), 1, MOST_HOLLOW),
                number(line, "replacements", 210, 1, MOST_HOLLOW),
                !line.hasOption("no-policy"),
                number(line, "join-seconds", 120, 1, MOST_SECONDS),
                number(line, "most-seconds", 900, 1, MOST_SECONDS));
    }

    private static int number(CommandLine line, String option, int usual, int least, int most) throws ParseException {
        String text = line.getOptionValue(option, Integer.toString(usual));
        if (!text.matches("[0-9]{1,6}") || Integer.parseInt(text) < least || Integer.parseInt(text) > most) {
            throw new ParseException("--" + option + " is " + text + ", no whole number from " + least + " to " + most);
        }
        return Integer.parseInt(text);
    }

    private static int play(ScaleSettings settings, CommandLine line, PrintStream out, PrintStream err)
            throws ParseException, IOException, InterruptedException, InvalidConfigException {
        String run = line.hasOption("run")
                ? line.getOptionValue("run")
                : RunLine.deployed(Path.of(line.getOptionValue("deploy", "deploy/balancer.toml")));
        AtomicBoolean keep = new AtomicBoolean(line.hasOption("keep"));
        Path folder = keep.get()
                ? Files.createDirectories(Path.of(line.getOptionValue("keep")).toAbsolutePath())
                : Files.createTempDirectory("slateseam-scale");
        long begin = System.nanoTime();
        Consumer<String> progress =
                text -> err.printf("%4d s  %s%n", (System.nanoTime() - begin) / 1_000_000_000L, text);
        ScaleRun scale = new ScaleRun(settings, run, Path.of("").toAbsolutePath(), folder, progress);
        // Guards against processes that stay behind when the run is interrupted.
        Thread hook = new Thread(() -> {
            scale.close();
            if (!keep.get()) {
                delete(folder);
            }
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try (scale) {
            ScaleResult result = scale.play();
            out.println(result.text());
            if (line.hasOption("json")) {
                Files.writeString(
                        Path.of(line.getOptionValue("json")), result.json().toString(1) + "\n");
            }
            return result.hasFaults() || result.isSpoilt() ? BROKEN : 0;
        } catch (IllegalStateException e) {
            keep.set(true); // the message may name a log
            throw e;
        } finally {
            scale.close();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
                if (!keep.get()) {
                    delete(folder);
                }
            } catch (IllegalStateException e) {
                // It is the hook that ends this; it clears the folder away.
            }
        }
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // A file more in a temporary folder.
        }
    }
}
