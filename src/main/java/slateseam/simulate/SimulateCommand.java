package slateseam.simulate;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.json.JSONArray;
import slateseam.decision.Brain;
import slateseam.decision.SupplyLinks;
import slateseam.simulate.check.Breach;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.InvalidScenarioException;
import slateseam.simulate.scenario.Scenario;
import slateseam.simulate.scenario.Scenarios;
import slateseam.simulate.tier.MembersCommand;
import slateseam.simulate.tier.MembersSlopes;
import slateseam.simulate.tier.PolicyFigures;
import slateseam.simulate.tier.SupplyFigures;
import slateseam.simulate.tier.TierDays;
import slateseam.tier.members.MembersSettings;

/** The sub-commands of {@code simulate}. */
public final class SimulateCommand {
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int MOST_THREADS = 256;
    private static final int MOST_PLAYS = 600;
    private static final int MOST_SHOWN = 20;
    private static final String HELP = """
            usage: java -jar slateseam.jar simulate COMMAND
              run --seeds A..B    plays days on a virtual clock and checks every rule; a line for each seed that breaks one
              replay SEED         plays one day again and prints the hash of all its happenings
              tier --seeds A..B   plays what the tier of routers decides in common through days of faults, and checks it
              agreement --seeds A..B   the same of the log that a few routers agree on: votes, disks that lie, changes of who votes
              policy --seeds A..B      the same of changes of policy that take hold everywhere or nowhere
              supply --seeds A..B      the same of the budget that routers share over links (supply_links)
              supply-figures      prints how fast supply follows a shift of demand (--members N,N... routers; --links MS: over links,
                                  exchanged so often; --loss PERCENT of the datagrams)
              policy-figures      prints how long a change of policy takes and what it costs (--members N,N... routers)
              members             prints how fast and how wrong membership is, and what it costs
              members-slopes      prints how membership's costs and times grow with the number of members (--members N,N..., --at N)
              policy-slopes       the same of a change of policy
              shrink SEED         makes a day that breaks a rule as small as can be and writes it as a scenario file
            --scenario FILE       what days are drawn from, or the one day of its own seed; without it the usual scenario
            --faults KIND,...     just these faults, or none; without it as the scenario says
            --threads N           for run: days that are played at once; without it one for each core
            --json FILE           for run: what each day gave
            --trace FILE          for replay: every happening, one line each
            --members N,N...      for members: of how many (2 to 8192; usual 5,20,100); --hours H is how many member-hours are played
                                  for each figure of wrong accusations
            --out FILE            for shrink: where the scenario goes; without it seed-SEED.scenario
            exit: 0 if no rule was broken, 1 if one was, 2 if the command or a file is wrong""";

    private final CommandLine line;
    private final PrintStream out;
    private final PrintStream err;
    private final Scenario scenario;
    private final FaultChoice faults;

    private SimulateCommand(CommandLine line, PrintStream out, PrintStream err)
            throws ParseException, InvalidScenarioException {
        this.line = line;
        this.out = out;
        this.err = err;
        String file = line.getOptionValue("scenario");
        this.scenario = file == null ? Scenarios.usual() : Scenarios.read(Path.of(file));
        try {
            String words = line.getOptionValue("faults");
            this.faults = words == null ? FaultChoice.AS_WRITTEN : FaultChoice.parse(words);
        } catch (IllegalArgumentException e) {
            throw new ParseException(e.getMessage());
        }
    }

    /** Runs a sub-command: 0 if no rule was broken, 1 if one was or a file cannot be written, 2 for bad use. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        String command = args.length == 0 ? "" : args[0];
        try {
            Options options = new Options();
            for (String option : switch (command) {
                case "run" -> new String[] {"scenario", "faults", "seeds", "threads", "json"};
                case "replay" -> new String[] {"scenario", "faults", "trace"};
                case "shrink" -> new String[] {"scenario", "faults", "out"};
                case "tier", "agreement", "policy", "supply" -> new String[] {"seeds"};
                case "supply-figures" -> new String[] {"members", "seeds", "loss", "links"};
                case "members", "policy-figures" -> new String[] {"members", "seeds", "hours"};
                case "members-slopes", "policy-slopes" -> new String[] {"members", "seeds", "at"};
                case "help", "--help", "-h" -> new String[0];
                default -> throw new ParseException(command.isEmpty() ? "no command" : "unknown command " + command);
            }) {
                options.addOption(Option.builder().longOpt(option).hasArg().get());
            }
            CommandLine line = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
            if (options.getOptions().isEmpty()) {
                out.println(HELP);
                return 0;
            }
            if (List.of("tier", "agreement", "policy", "supply").contains(command)) {
                return tier(command, line, out);
            }
            if (command.equals("supply-figures")) {
                return supplyFigures(line, out);
            }
            if (command.equals("members") || command.equals("policy-figures")) {
                return members(command, line, out);
            }
            if (command.equals("members-slopes") || command.equals("policy-slopes")) {
                return slopes(command, line, out);
            }
            SimulateCommand simulate = new SimulateCommand(line, out, err);
            return switch (command) {
                case "run" -> simulate.run();
                case "replay" -> simulate.replay();
                default -> simulate.shrink();
            };
        } catch (IllegalArgumentException e) {
            err.println("slateseam: simulate: " + e.getMessage()); // a scenario that this world lacks something for
            return USAGE;
        } catch (ParseException e) {
            err.println("slateseam: simulate: " + e.getMessage());
            err.println(HELP);
            return USAGE;
        } catch (InvalidScenarioException e) {
            e.faults().forEach(err::println);
            return USAGE;
        } catch (IOException | UncheckedIOException e) {
            err.println("slateseam: simulate: " + e.getMessage());
            return BROKEN;
        }
    }

    /** Days of faults for what the tier decides; a line for each seed that breaks a rule. */
    private static int tier(String command, CommandLine line, PrintStream out) throws ParseException {
        String[] seeds = line.getOptionValue("seeds", "").split("\\.\\.", -1);
        if (seeds.length != 2 || !line.getArgList().isEmpty()) {
            throw new ParseException(command + " wants --seeds A..B and no further words");
        }
        long first = number("--seeds", seeds[0], 0, Long.MAX_VALUE - 1);
        long last = number("--seeds", seeds[1], first, Long.MAX_VALUE - 1);
        long broken = switch (command) {
            case "tier" -> TierDays.play(first, last, out::println);
            case "agreement" -> TierDays.playAgreement(first, last, out::println);
            case "supply" -> TierDays.playSupply(first, last, out::println);
            default -> TierDays.playPolicy(first, last, out::println);
        };
        out.println((last - first + 1) + " days, " + broken + " broke a rule");
        return broken == 0 ? 0 : BROKEN;
    }

    /** The figures of membership. */
    private static int members(String command, CommandLine line, PrintStream out) throws ParseException {
        String[] seeds = line.getOptionValue("seeds", "1..10").split("\\.\\.", -1);
        if (seeds.length != 2 || !line.getArgList().isEmpty()) {
            throw new ParseException(command + " wants --seeds A..B and no further words");
        }
        int[] all = sizes(line, "5,20,100");
        long first = number("--seeds", seeds[0], 0, Long.MAX_VALUE - 1);
        long last = number("--seeds", seeds[1], first, Long.MAX_VALUE - 1);
        double hours = number("--hours", line.getOptionValue("hours", "100"), 1, 1_000_000);
        if (command.equals("members")) {
            MembersCommand.run(all, first, last, hours, out);
        } else {
            PolicyFigures.run(all, first, last, out::println);
        }
        return 0;
    }

    /** How fast supply follows a shift of demand. */
    private static int supplyFigures(CommandLine line, PrintStream out) throws ParseException {
        int[] routers = sizes(line, "20,50,100");
        long seed = number("--seeds", line.getOptionValue("seeds", "1"), 0, Long.MAX_VALUE - 1);
        double loss = number("--loss", line.getOptionValue("loss", "0"), 0, 99) / 100.0;
        long millis = number("--links", line.getOptionValue("links", "0"), 0, 10_000);
        SupplyLinks links = millis == 0 ? SupplyLinks.OFF : new SupplyLinks(true, millis * 1_000_000);
        SupplyFigures.run(routers, seed, loss, (settings, random) -> new Brain(settings, random, links), out::println);
        return 0;
    }

    private static int[] sizes(CommandLine line, String usual) throws ParseException {
        List<Integer> members = new ArrayList<>();
        for (String one : line.getOptionValue("members", usual).split(",")) {
            members.add((int) number("--members", one, 2, MembersSettings.MOST));
        }
        return members.stream().mapToInt(one -> one).toArray();
    }

    /** How costs and times grow with the number of routers. */
    private static int slopes(String command, CommandLine line, PrintStream out) throws ParseException {
        String[] seeds = line.getOptionValue("seeds", "1..2").split("\\.\\.", -1);
        if (seeds.length != 2 || !line.getArgList().isEmpty()) {
            throw new ParseException(command + " wants --seeds A..B and no further words");
        }
        int[] all = sizes(line, "50,100,200,400");
        long first = number("--seeds", seeds[0], 0, Long.MAX_VALUE - 1);
        long last = number("--seeds", seeds[1], first, Long.MAX_VALUE - 1);
        int at = (int) number("--at", line.getOptionValue("at", "2000"), 2, Integer.MAX_VALUE);
        if (command.equals("members-slopes")) {
            MembersSlopes.run(all, first, last, at, out::println);
        } else {
            PolicyFigures.slopes(all, first, last, at, out::println);
        }
        return 0;
    }

    private int run() throws ParseException, IOException {
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("unexpected " + line.getArgList().get(0));
        }
        String[] seeds = line.getOptionValue(
                        "seeds", scenario.seed().map(seed -> seed + ".." + seed).orElse(""))
                .split("\\.\\.", -1);
        if (seeds.length != 2) {
            throw new ParseException("--seeds wants A..B, the first and the last seed");
        }
        long first = number("--seeds", seeds[0], 0, Long.MAX_VALUE - 1);
        long last = number("--seeds", seeds[1], first, Long.MAX_VALUE - 1);
        int threads = (int) number(
                "--threads",
                line.getOptionValue(
                        "threads",
                        Integer.toString(
                                Math.min(MOST_THREADS, Runtime.getRuntime().availableProcessors()))),
                1,
                MOST_THREADS);
        Summary summary = new Summary();
        JSONArray json = line.hasOption("json") ? new JSONArray() : null;
        boolean terminal = System.console() != null;
        long began = System.nanoTime();
        SeedRuns.play(first, last, threads, seed -> new Play(day(seed), null).play(), result -> {
            summary.add(result);
            if (!result.isSound()) {
                clear(terminal);
                out.println(broken(result));
            }
            if (json != null) {
                json.put(Reports.json(result));
            }
            if (terminal) {
                err.print("\r" + summary.seeds() + " of " + (last - first + 1) + " seeds");
            }
        });
        clear(terminal);
        out.println(summary.text((System.nanoTime() - began) / 1e9, threads));
        if (json != null) {
            Files.writeString(Path.of(line.getOptionValue("json")), json.toString(1) + "\n");
        }
        return summary.isSound() ? 0 : BROKEN;
    }

    private void clear(boolean terminal) {
        if (terminal) {
            err.print("\r\033[K");
        }
    }

    private Day day(long seed) {
        return Day.draw(scenario, seed, faults);
    }

    /** The line of a seed that broke a rule. */
    private String broken(Result result) {
        Breach breach = result.breaches().get(0);
        return "seed " + result.day().seed() + ": " + shown(result, breach) + " (" + result.counts()
                + "); replay it with: "
                + "simulate replay " + result.day().seed() + option("scenario") + option("faults");
    }

    private String option(String name) {
        return line.hasOption(name) ? " --" + name + " " + line.getOptionValue(name) : "";
    }

    private static String shown(Result result, Breach breach) {
        return String.format(Locale.ROOT, "%s at %.6f s", breach.rule(), (breach.nanos() - result.begin()) / 1e9)
                + (breach.router().isEmpty() ? "" : ", " + breach.router())
                + (breach.request().isEmpty() ? "" : ", request " + breach.request()) + ": " + breach.text();
    }

    private long seed() throws ParseException {
        if (line.getArgList().size() != 1) {
            throw new ParseException("one seed is wanted");
        }
        return number("the seed", line.getArgList().get(0), 0, Long.MAX_VALUE - 1);
    }

    private int replay() throws ParseException, IOException {
        long seed = seed();
        String file = line.getOptionValue("trace");
        Result result;
        if (file == null) {
            result = new Play(day(seed), null).play();
        } else {
            try (BufferedWriter trace = Files.newBufferedWriter(Path.of(file), StandardCharsets.UTF_8)) {
                result = new Play(day(seed), text -> write(trace, text)).play();
            }
        }
        result.breaches().stream().limit(MOST_SHOWN).forEach(breach -> out.println(shown(result, breach)));
        out.println(Reports.text(result));
        out.println("hash " + result.hashText() + " of " + result.happenings() + " happenings");
        return result.isSound() ? 0 : BROKEN;
    }

    private static void write(BufferedWriter to, String text) {
        try {
            to.write(text);
            to.newLine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int shrink() throws ParseException, IOException {
        long seed = seed();
        Result result = new Play(day(seed), null).play();
        if (result.isSound()) {
            out.println("seed " + seed + " breaks no rule");
            return 0;
        }
        out.println(broken(result));
        Shrinker shrinker = new Shrinker(result, MOST_PLAYS, System.console() == null ? text -> {} : err::println);
        Scenario smallest = shrinker.shrink();
        Path file = Path.of(line.getOptionValue("out", "seed-" + seed + ".scenario"));
        Files.writeString(file, smallest.toString());
        Result last = shrinker.result();
        out.println(shown(last, last.breaches().get(0)));
        out.println(file + ": " + last.day().routers().size() + " routers, "
                + last.day().servers().size()
                + " servers, "
                + last.asked().size() + " requests, "
                + last.day().timeline().faults().size() + " faults, "
                + last.day().durationNanos() / 1_000_000 + " ms; play it with: simulate run --scenario " + file);
        return BROKEN;
    }

    /** Reads a whole number of a command line, or says in one line what is wrong with it. */
    public static long number(String what, String text, long least, long most) throws ParseException {
        try {
            long number = Long.parseLong(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new ParseException(what + " is " + text + ", no whole number from " + least + " to " + most);
    }
}
