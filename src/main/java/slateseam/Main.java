package slateseam;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import slateseam.rehearse.Rehearsal;
import slateseam.router.Router;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.handover.Handover;
import slateseam.router.net.Clock;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.router.warmup.WarmUp;
import slateseam.scale.ScaleCommand;
import slateseam.show.Check;
import slateseam.show.FarmShow;
import slateseam.show.PolicyCommand;
import slateseam.show.TierShow;
import slateseam.simulate.SimulateCommand;
import slateseam.trial.TrialCommand;
import slateseam.wire.Frames.MalformedFrameException;
import slateseam.wire.WireHost;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The command line. */
public final class Main {
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    /** Before a router takes user agents; what it costs a restart, and spares the first seconds. */
    private static final long WARM_NANOS = 250_000_000L;

    private static final String HELP = """
            usage: java -jar slateseam.jar COMMAND [--config FILE] [--features FILE]
              serve         runs one router until it gets SIGTERM; SIGHUP makes it read its configuration again
              check-config  reads a router's configuration and says what is wrong with it
              simulate      plays whole days on a virtual clock and checks the rules (simulate help)
              trial         plays faults on several real processes of the program (trial help)
              scale         measures what control costs real routers among many hollow ones (scale help)
              farm show     shows the farm as a router of this configuration would see it now; --from FILE reads a saved
                            list of EndpointSlices instead of asking, --json prints JSON
              tier show     shows the tier of routers as a running router sees it; --at HOST:PORT asks at that second address, again
                            and again for a matrix of who hears whom; --json prints JSON
              policy        checks, proposes, shows and takes back what all routers of a tier share (policy help)
              rehearse      plays the service once by itself, for the archive of classes that the build makes
              benchlink     serves the simulator's wire on standard input and output
              version       prints the version
            --config FILE is a router's configuration (serve, check-config, farm show); without it NODE_CONFIG names the
            file; --features FILE turns features on (the same commands); without it all are off""";

    private Main() {}

    /** Runs the named command and exits: 0 in order, 1 if it failed, 2 if it was called or configured wrongly. */
    public static void main(String[] args) {
        int status = run(args, System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("simulate")) {
            // The only mention of the simulation, whose classes are so loaded by nothing else.
            return SimulateCommand.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        if (command.equals("trial")) {
            return TrialCommand.run(Arrays.copyOfRange(args, 1, args.length), out, err); // likewise
        }
        if (command.equals("scale")) {
            return ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length), out, err); // likewise
        }
        if (command.equals("tier")) {
            return TierShow.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        if (command.equals("policy")) {
            return PolicyCommand.run(Arrays.copyOfRange(args, 1, args.length), out, err);
        }
        try {
            Options options = new Options();
            boolean farm = command.equals("farm");
            if (farm) {
                options.addOption(Option.builder().longOpt("from").hasArg().get());
                options.addOption(Option.builder().longOpt("json").get());
            }
            if (farm || command.equals("serve") || command.equals("check-config") || command.equals("rehearse")) {
                options.addOption(Option.builder().longOpt("config").hasArg().get());
                options.addOption(Option.builder().longOpt("features").hasArg().get());
            }
            String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
            CommandLine line = new DefaultParser().parse(options, rest);
            List<String> words = new ArrayList<>(line.getArgList());
            if (farm && (words.isEmpty() || !words.remove(0).equals("show"))) {
                throw new ParseException("farm can only show");
            }
            if (!words.isEmpty()) {
                throw new ParseException("unexpected " + words.get(0));
            }
            switch (command) {
                case "serve" -> {
                    Path file = configFile(line);
                    NodeConfig config = NodeConfig.read(file).withControl(System.getenv("NODE_CONTROL"));
                    return serve(config, features(line, config), file, featuresFile(line), err);
                }
                case "check-config" -> {
                    NodeConfig config = NodeConfig.read(configFile(line));
                    Check.files(features(line, config));
                    out.println("the configuration of " + config.name() + " is in order");
                }
                case "farm" -> {
                    NodeConfig config = NodeConfig.read(configFile(line));
                    String from = line.getOptionValue("from");
                    Features features = features(line, config);
                    if (from != null && features.kubernetes() == null) {
                        throw new ParseException("--from needs --features with kubernetes_api");
                    }
                    Path list = from == null ? null : Path.of(from);
                    new FarmShow(config, features).show(list, line.hasOption("json"), out);
                }
                case "rehearse" -> new Rehearsal().play(featuresFile(line), err);
                case "benchlink" -> new WireHost().serve(System.in, out);
                case "version" -> out.println("slateseam " + version());
                case "help", "--help", "-h" -> out.println(HELP);
                default -> throw new ParseException(command.isEmpty() ? "no command" : "unknown command " + command);
            }
            return 0;
        } catch (ParseException e) {
            err.println("slateseam: " + e.getMessage());
            err.println(HELP);
            return USAGE;
        } catch (InvalidConfigException e) {
            err.println("slateseam: bad configuration: " + e.getMessage());
            return USAGE;
        } catch (MalformedFrameException | IOException e) {
            err.println("slateseam: " + command + ": " + e.getMessage());
            return FAILED;
        }
    }

    private static Path configFile(CommandLine line) throws ParseException {
        String file = line.getOptionValue("config", System.getenv("NODE_CONFIG"));
        if (file == null) {
            throw new ParseException("neither --config nor NODE_CONFIG names a configuration");
        }
        return Path.of(file);
    }

    private static Features features(CommandLine line, NodeConfig config) throws InvalidConfigException {
        Path file = featuresFile(line);
        return file == null ? Features.OFF : Features.read(file, config);
    }

    /** Null if there is none. */
    private static Path featuresFile(CommandLine line) {
        String file = line.getOptionValue("features");
        return file == null ? null : Path.of(file);
    }

    private static int serve(NodeConfig config, Features features, Path file, Path settings, PrintStream err) {
        Console console = new Console(config.name(), err);
        CountDownLatch ended = new CountDownLatch(1);
        try {
            serve(config, features, file, settings, console, ended);
            return 0;
        } catch (IOException e) {
            // Not printed from here: an exit must not hang on a reader of standard error that has stopped.
            console.line("slateseam: serve: " + e.getMessage());
            return FAILED;
        } finally {
            console.close();
            // Guards against an exit that waits for the hook while the hook waits for this thread.
            ended.countDown();
        }
    }

    private static void serve(
            NodeConfig config, Features features, Path file, Path settings, Console console, CountDownLatch ended)
            throws IOException {
        Clock clock = Clock.system();
        Log log = new Log(config.name(), clock, console);
        String folder = System.getenv("TMPDIR");
        // Only who is called at a second address is ever started beside another process of the same router.
        Handover handover = config.control() == null || folder == null ? null : new Handover(Path.of(folder));
        boolean waited = handover == null || !handover.isHeir(); // nobody waits for an heir: the one before serves
        new WarmUp(config.settings()).play(clock, waited ? WARM_NANOS : 2 * WARM_NANOS);
        Router router = new Router(config, features, Router.Place.system(features, handover), clock, log, console);
        if (Clock.aheadMillis() != 0) {
            log.line("clock-off", "ahead_ms=" + Clock.aheadMillis() + " by=" + Clock.AHEAD_MILLIS);
        }
        // Guards against the virtual machine's own answer to SIGHUP, which is to end.
        if (Signal.handle(new Signal("HUP"), signal -> router.reload(file, settings)) == SignalHandler.SIG_IGN) {
            // The virtual machine keeps to what its starter chose and installs nothing: said, lest it be found out by a
            // stale farm.
            log.line(
                    "signal-ignored", "signal=HUP since=start lost=new-settings start-by=\"env --default-signal=HUP\"");
        }
        if (features.hotList() != null) {
            // Before 'serving', so that whoever has read that may signal: unhandled, SIGUSR1 ends the process.
            Signal.handle(new Signal("USR1"), signal -> router.showHotList());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            router.end();
            try {
                ended.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        router.run();
        log.line("ended", "every connection was closed between requests");
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }
}
