package slateseam.trial;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import slateseam.simulate.SimulateCommand;
import slateseam.simulate.VirtualTrial;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.InvalidScenarioException;
import slateseam.simulate.scenario.Scenario;
import slateseam.simulate.scenario.Scenarios;

/** The sub-commands of {@code trial}. */
public final class TrialCommand {
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int MOST_ROUTERS = 1_024;
    private static final int MOST_VIRTUAL = 1_024;
    private static final String SCRIPTS = "/slateseam/trials/";
    private static final List<String> TIERS = List.of("off", "keep", "rest");
    private static final String HELP = """
            usage: java -jar slateseam.jar trial COMMAND
              run FILE|NAME     starts real routers and stand-ins, plays a scenario's faults on them, and prints a row a phase
              list              the scripts that come with the program
            --routers N         so many routers instead of what the scenario says
            --seed S            what is drawn; without it the scenario's own, or 1
            --tier keep|rest|off  whether routers know their tier in common, and what the smaller part of a cut does with its supply
            --json FILE         the same rows as JSON
            --keep DIR          configurations, logs and the history go there and stay; else only those of a trial that broke
            --deploy FILE       whose line `run` starts a router; without it deploy/balancer.toml of the folder here
            --virtual           plays the same on the virtual clock instead, without processes; all rules are checked there
            --run LINE          starts a router by this line of a shell instead, which must end by exec
            --at ROUTER=LINE    starts that router by another line, such as one with a jar of another build; may be given again
            exit: 0 if all held, 1 if a rule broke or the trial was spoilt, 2 if the command or a file is wrong""";

    private TrialCommand() {}

    /** Runs a sub-command: 0 if all held, 1 if something broke or could not be done, 2 for bad use. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        String command = args.length == 0 ? "" : args[0];
        try {
            Options options = new Options();
            if (command.equals("run")) {
                for (String option : new String[] {"routers", "seed", "json", "keep", "deploy", "run", "tier"}) {
                    options.addOption(Option.builder().longOpt(option).hasArg().get());
                }
                options.addOption(Option.builder().longOpt("virtual").get());
                options.addOption(Option.builder().longOpt("at").hasArg().get());
            }
            CommandLine line =
                    new DefaultParser().parse(options, Arrays.copyOfRange(args, Math.min(1, args.length), args.length));
            switch (command) {
                case "run" -> {
                    return play(line, out, err);
                }
                case "list" -> names().forEach(out::println);
                case "help", "--help", "-h" -> out.println(HELP);
                default -> throw new ParseException(command.isEmpty() ? "no command" : "unknown command " + command);
            }
            return 0;
        } catch (ParseException | IllegalArgumentException e) {
            err.println("slateseam: trial: " + e.getMessage());
            return USAGE;
        } catch (InvalidScenarioException e) {
            e.faults().forEach(err::println);
            return USAGE;
        } catch (IOException | UncheckedIOException | IllegalStateException e) {
            err.println("slateseam: trial: " + e.getMessage());
            return BROKEN;
        } catch (InterruptedException e) {
            return BROKEN; // everything was ended by who interrupted it
        }
    }

    /** The scripts that come with the program. */
    static List<String> names() throws IOException {
        try (InputStream in = TrialCommand.class.getResourceAsStream(SCRIPTS + "index")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(name -> !name.isBlank())
                    .toList();
        }
    }

    private static Scenario scenario(String name) throws IOException, InvalidScenarioException {
        if (!names().contains(name)) {
            return Scenarios.read(Path.of(name));
        }
        String file = name + ".scenario";
        try (InputStream in = TrialCommand.class.getResourceAsStream(SCRIPTS + file)) {
            return Scenarios.parse(file, in.readAllBytes());
        }
    }

    /** Draws the day of a trial; a script must name nobody who is not there. */
    static Day day(String name, Integer routers, long seed) throws IOException, InvalidScenarioException {
        return day(name, routers, seed, null);
    }

    /** The same with the tier known in common, or not, whatever the scenario says; null for what it says. */
    static Day day(String name, Integer routers, long seed, String tier) throws IOException, InvalidScenarioException {
        Scenario scenario = tier == null ? scenario(name) : scenario(name).withTier(tier);
        Day day = Day.draw(routers == null ? scenario : scenario.withRouters(routers), seed, FaultChoice.AS_WRITTEN);
        Set<String> there = new TreeSet<>(List.of(Day.Origin.NAME));
        day.routers().forEach(router -> there.addAll(List.of(router.name(), router.agentName())));
        day.servers().forEach(server -> there.add(server.name()));
        day.userAgents().forEach(userAgent -> there.add(userAgent.name()));
        for (Fault fault : day.timeline().faults()) {
            for (String target : fault.targets()) {
                for (String one : target.split("~")) {
                    if (one.contains("-") && !there.contains(one)) {
                        throw new InvalidScenarioException(List.of(name + ": " + fault + ": there is no " + one
                                + " among " + day.routers().size() + " routers"));
                    }
                }
            }
        }
        return day;
    }

    private static int play(CommandLine line, PrintStream out, PrintStream err)
            throws ParseException, IOException, InvalidScenarioException, InterruptedException {
        if (line.getArgList().size() != 1) {
            throw new ParseException("one scenario is wanted: a file, or a name that `trial list` shows");
        }
        boolean virtual = line.hasOption("virtual");
        Integer routers = line.hasOption("routers")
                ? (Integer) (int) SimulateCommand.number(
                        "--routers", line.getOptionValue("routers"), 1, virtual ? MOST_VIRTUAL : MOST_ROUTERS)
                : null;
        long seed = SimulateCommand.number("--seed", line.getOptionValue("seed", "1"), 0, Long.MAX_VALUE - 1);
        String tier = line.getOptionValue("tier");
        if (tier != null && !TIERS.contains(tier)) {
            throw new ParseException("--tier is " + tier + ", not one of " + String.join(", ", TIERS));
        }
        Day day = day(line.getArgList().get(0), routers, seed, tier);
        if (virtual) {
            VirtualTrial played = VirtualTrial.play(day);
            List<Findings.Finding> broken = played.breaches().stream()
                    .map(breach -> new Findings.Finding(
                            (breach.nanos() - played.begin()) / 1e9,
                            breach.rule().name().toLowerCase(Locale.ROOT),
                            breach.router(),
                            breach.text()))
                    .toList();
            return tell(new TrialResult(day, played.phases(), broken, 0, null), line, out);
        }
        String run = line.hasOption("run")
                ? line.getOptionValue("run")
                : RunLine.deployed(Path.of(line.getOptionValue("deploy", "deploy/balancer.toml")));
        Path folder = line.hasOption("keep")
                ? Files.createDirectories(Path.of(line.getOptionValue("keep")).toAbsolutePath())
                : Files.createTempDirectory("slateseam-trial");
        boolean terminal = System.console() != null;
        AtomicBoolean keep = new AtomicBoolean(line.hasOption("keep"));
        Map<String, String> others = others(line, day);
        TrialPlay play = new TrialPlay(
                day,
                router -> others.getOrDefault(router, run),
                Path.of("").toAbsolutePath(),
                folder,
                text -> err.print(terminal ? "\r" + text + " " : ""));
        // Guards against processes, some of them stopped, that stay behind when the trial is interrupted.
        Thread hook = new Thread(() -> {
            play.close();
            if (!keep.get()) {
                delete(folder);
            }
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try (play) {
            TrialResult result = play.play();
            play.close();
            out.print(terminal ? "\r" : "");
            int status = tell(result, line, out);
            keep.compareAndSet(false, status != 0);
            if (keep.get()) {
                out.println("logs: " + folder);
            }
            return status;
        } catch (IllegalStateException e) {
            keep.set(true); // the message names a log
            throw e;
        } finally {
            play.close();
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

    private static Map<String, String> others(CommandLine line, Day day) throws ParseException {
        Map<String, String> others = new TreeMap<>();
        for (String one : line.hasOption("at") ? line.getOptionValues("at") : new String[0]) {
            int sign = one.indexOf('=');
            String router = sign < 0 ? one : one.substring(0, sign);
            if (sign < 0
                    || day.routers().stream().noneMatch(there -> there.name().equals(router))) {
                throw new ParseException("--at is " + one + ", no ROUTER=LINE of a router that is there");
            }
            others.put(router, one.substring(sign + 1));
        }
        return others;
    }

    private static int tell(TrialResult result, CommandLine line, PrintStream out) throws IOException {
        out.println(result.text());
        if (line.hasOption("json")) {
            Files.writeString(
                    Path.of(line.getOptionValue("json")), result.json().toString(1) + "\n");
        }
        return result.findings().isEmpty() && !result.isSpoilt() ? 0 : BROKEN;
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).collect(Collectors.toList())) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // A file more in a temporary folder.
        }
    }
}
