package slateseam.trial;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slateseam.simulate.Phases;
import slateseam.simulate.Planted;
import slateseam.simulate.VirtualTrial;
import slateseam.simulate.scenario.Scenarios;

/** Several real processes of the program with faults between them. Bounds have wide margins: the machine has other work. */
@Timeout(120)
class TrialTest {
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

    @TempDir
    Path dir;

    /** The deployed line, with the classes under test and what is planted before them. */
    private static String line(String planted) throws Exception {
        return TrialCommand.deployed(Path.of("deploy/balancer.toml")).replace(" java ", " '" + JAVA + "' ")
                .replace("-jar target/slateseam.jar", "-cp '" + planted + System.getProperty("java.class.path") + "' slateseam.Main")
                .replace("-XX:SharedArchiveFile=target/slateseam.jsa -Xshare:auto", "-Xshare:auto");
    }

    private TrialResult play(String script, String planted) throws Exception {
        List<Long> left;
        TrialResult result;
        String line = line(planted);
        TrialPlay play = new TrialPlay(TrialCommand.day(script, null, 1), router -> line, Path.of("").toAbsolutePath(), dir, text -> { });
        try (play) {
            result = play.play();
            left = play.running();
        }
        assertThat(left).isNotEmpty().noneMatch(pid -> ProcessHandle.of(pid).isPresent());
        return result;
    }

    @Test
    void aPauseAOneSidedCutAndAKillBreakNoRule() throws Exception {
        TrialResult result = play("short", "");
        assertThat(result.findings()).isEmpty();
        List<Phases.Phase> phases = result.phases().all();
        assertThat(phases).extracting(phase -> phase.faults()).containsExactly("", "pause router-2", "",
                "one-way router-1~router-3", "router-kill router-3", "");
        assertThat(phases.get(0).servedPart()).isGreaterThan(0.7);
        assertThat(phases).allMatch(phase -> phase.asked() > 0 && phase.mostSupply() < 1.6 && phase.leastSupply() > 0.3);
        // It is another process that answers in the end.
        assertThat(Files.readAllLines(dir.resolve("history.log"))).filteredOn(l -> l.contains("who=router-3 said=\"serving")).hasSize(2);
        assertThat(result.json().getJSONArray("phases").length()).isEqualTo(phases.size());
        assertThat(Files.readAllLines(dir.resolve("history.log"))).filteredOn(l -> l.contains("who=router-1 concurrent="))
                .hasSizeGreaterThan(3).allMatch(l -> l.contains(" targets=6 "));
        // The same text on the virtual clock: the same phases, and arrivals drawn ahead alike.
        VirtualTrial virtual = VirtualTrial.play(TrialCommand.day("short", null, 1));
        assertThat(virtual.breaches()).isEmpty();
        for (int i = 0; i < phases.size(); i++) {
            Phases.Phase other = virtual.phases().all().get(i);
            assertThat(other.faults()).isEqualTo(phases.get(i).faults());
            assertThat((double) phases.get(i).asked()).isCloseTo(other.asked(), withinPercentage(5));
        }
    }

    /** The books between neighbours: what moves is not taken from who gives it. */
    @Test
    void aRouterThatMintsSupplyIsFound() throws Exception {
        Path planted = Planted.write(dir.resolve("planted"), "mints what it moves", "decision/Neighbour",
                "accounts.get(a).units -= Math.max(0, moved);", "");
        assertThat(play(file("mints", "8 s", ""), planted + ":").findings()).extracting(Findings.Finding::rule).containsOnly("supply");
    }

    /** What a router does after a pause: this one takes the missing time for a fault of its own and ends. */
    @Test
    void aRouterThatDoesNotComeBackFromAPauseIsFound() throws Exception {
        Path planted = Planted.write(dir.resolve("planted"), "ends itself behind a long round", "router/net/Loop",
                "        longestStall = Math.max(longestStall, woken - begins - Math.max(0, wait));",
                "        if (now - begins > 1_500 * Clock.MILLI) { throw new IOException(\"stood still\"); }");
        assertThat(play(file("pause", "6 s", "at 2 s pause router-2 for 2 s"), planted + ":").findings())
                .extracting(Findings.Finding::rule, Findings.Finding::whom).containsExactly(org.assertj.core.api.Assertions.tuple("crash", "router-2"));
    }

    /** A server that says nothing, the origin out of one router's reach, an agent whose connections break: no rule breaks. */
    @Test
    void troubledStreamsBreakNoRuleAndAreUndone() throws Exception {
        TrialResult result = play(file("streams", "9 s", "at 1 s silence big-1 for 2 s\nat 2 s cut router-2~origin for 2 s\n"
                + "at 3 s reset discovery-1"), "");
        assertThat(result.findings()).isEmpty();
        List<Phases.Phase> phases = result.phases().all();
        assertThat(phases.get(0).servedPart()).isGreaterThan(0.7);
        assertThat(phases.get(phases.size() - 1).servedPart()).isGreaterThan(0.7);
        assertThat(phases.stream().mapToLong(phase -> phase.asked() - phase.of(slateseam.standin.useragent.Outcomes.Ending.SERVED)).sum())
                .as("requests that the faults cost").isPositive();
        assertThat(Files.readString(dir.resolve("router-1.log"))).contains("farm-unreachable: the connection broke");
    }

    /** The script of the short trial with another one. */
    private String file(String name, String duration, String script) throws Exception {
        String text = new String(TrialTest.class.getResourceAsStream("/slateseam/trials/short.scenario").readAllBytes(),
                StandardCharsets.UTF_8);
        String begin = text.substring(0, text.indexOf("[script]")).replace("duration 8 s", "duration " + duration);
        return Files.writeString(dir.resolve(name + ".scenario"), script.isEmpty() ? begin : begin + "[script]\n" + script + "\n")
                .toString();
    }

    @Test
    void aRouterThatEndsBeforeItServesIsNamedAndNothingIsLeft() throws Exception {
        TrialPlay play = new TrialPlay(TrialCommand.day("short", null, 1),
                router -> router.equals("router-2") ? "echo no >&2; exit 7" : "exec sleep 60", dir, dir, text -> { });
        try (play) {
            assertThatThrownBy(play::play).isInstanceOf(IllegalStateException.class)
                    .hasMessageMatching("router-2 ended with status 7 before it served; its log: .*router-2\\.log");
        }
        assertThat(play.running()).isEmpty();
    }

    /** Interrupted while one router is stopped: a stopped process does not hear SIGTERM. */
    @Test
    void anInterruptedTrialLeavesNoProcessAndNoFile() throws Exception {
        Path folder = Files.createDirectories(dir.resolve("tmp"));
        String script = file("interrupted", "60 s", "at 100 ms pause router-1 for 50 s");
        Process trial = new ProcessBuilder("env", "--default-signal=INT", JAVA.toString(), "-Djava.io.tmpdir=" + folder, "-cp",
                System.getProperty("java.class.path"), "slateseam.Main", "trial", "run", script, "--run", line(""))
                .redirectErrorStream(true).redirectOutput(dir.resolve("said").toFile()).start();
        try {
            List<ProcessHandle> routers = List.of();
            while (routers.size() < 3 || routers.stream().noneMatch(TrialTest::isStopped)) {
                assertThat(trial.isAlive()).as(Files.readString(dir.resolve("said"))).isTrue();
                routers = trial.descendants().filter(p -> p.info().commandLine().orElse("").contains("serve")).toList();
                Thread.onSpinWait();
            }
            new ProcessBuilder("sh", "-c", "kill -INT " + trial.pid()).start().waitFor();
            assertThat(trial.waitFor()).isEqualTo(130);
            assertThat(routers).noneMatch(ProcessHandle::isAlive);
            try (Stream<Path> left = Files.list(folder)) {
                assertThat(left.filter(file -> !file.getFileName().toString().startsWith("hsperf"))).isEmpty();
            }
        } finally {
            trial.descendants().forEach(ProcessHandle::destroyForcibly);
            trial.destroyForcibly();
        }
    }

    private static boolean isStopped(ProcessHandle process) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat")).matches("(?s)\\d+ \\(.*\\) T .*");
        } catch (java.io.IOException e) {
            return false;
        }
    }

    @Test
    void badUseIsOneLineThatNamesPlaceAndFault() throws Exception {
        assertThat(said("run", "nowhere.scenario")).isEqualTo("2 nowhere.scenario:1: there is no such file");
        assertThat(said("run", "pause-most", "--routers", "2")).matches("2 pause-most: at 6000 ms pause .*: there is no router-3 among 2 routers");
        assertThat(said("run", file("lacks", "8 s", "at 1 s silence router-1 for 1 s")))
                .startsWith("2 slateseam: trial: a trial cannot play silence of router-1, only between ");
        assertThat(said("run", "short", "--deploy", "none.toml")).startsWith("2 slateseam: trial: there is no none.toml");
        assertThat(said("run", "short", "--at", "router-7=exit")).startsWith("2 slateseam: trial: --at is router-7=exit, no ROUTER=LINE");
        assertThat(said("run", "short", "--routers", "0")).startsWith("2 slateseam: trial: --routers is 0");
        assertThat(said("play")).startsWith("2 slateseam: trial: unknown command play");
    }

    private static String said(String... args) {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        PrintStream to = new PrintStream(said, true, StandardCharsets.UTF_8);
        int status = TrialCommand.run(args, to, to);
        return status + " " + said.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    void everyScriptThatComesWithTheProgramCanBePlayedInBothWorlds() throws Exception {
        for (String name : TrialCommand.names()) {
            byte[] text = TrialTest.class.getResourceAsStream("/slateseam/trials/" + name + ".scenario").readAllBytes();
            assertThat(Scenarios.parse(name, text).toString()).as(name).isNotEmpty();
            assertThat(TrialCommand.day(name, null, 1).routers()).as(name).hasSizeGreaterThan(2);
        }
    }
}
