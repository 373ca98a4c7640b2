package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as it is started in service: a process of its own, its signals and its standard error. */
@Timeout(120)
class ServeTest {
    @TempDir
    Path dir;

    private Process process;
    private BufferedReader err;
    private Socket socket;
    private BufferedReader answers;

    /** Starts a router with an empty farm, so that each request gets its unavailable answer at once. */
    private void start(String... settings) throws IOException {
        String config = Files.readString(Path.of("examples/config.json"))
                .replaceAll("127.0.0.1:(6379|7946)", "127.0.0.1:0")
                .replaceFirst("(?s)\"hosts\": \\[.*?\\]", "\"hosts\": []");
        launch(config, settings);
        String serving = line("example: serving: at ");
        socket = new Socket("127.0.0.1", Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1)));
        answers = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private void launch(String config, String... settings) throws IOException {
        launch(new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + dir.resolve("loaded"),
                "-cp",
                System.getProperty("java.class.path"),
                "slateseam.Main",
                "serve",
                "--config",
                Files.writeString(dir.resolve("config.json"), config).toString(),
                "--features",
                Files.write(dir.resolve("slateseam.conf"), List.of(settings)).toString()));
    }

    private void launch(ProcessBuilder builder) throws IOException {
        process = builder.start();
        err = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    /** Starts the deployed line as somebody does who ignores SIGHUP, as nohup does; what runs is the classes under test. */
    private void launchIgnoringHangups(String line) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "trap '' HUP; "
                        + line.replace(
                                "-jar target/slateseam.jar",
                                "-cp '" + System.getProperty("java.class.path") + "' slateseam.Main"));
        String config =
                Files.readString(Path.of("examples/config.json")).replaceAll("127.0.0.1:(6379|7946)", "127.0.0.1:0");
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        Files.writeString(dir.resolve("config.json"), config).toString());
        builder.environment()
                .merge(
                        "PATH",
                        Path.of(System.getProperty("java.home"), "bin").toString(),
                        (old, java) -> java + ":" + old);
        launch(builder);
    }

    @AfterEach
    void end() throws Exception {
        process.destroyForcibly().waitFor();
        if (socket != null) {
            socket.close();
        }
    }

    private String line(String begin) throws IOException {
        String line = err.readLine();
        while (line != null && !line.startsWith(begin)) {
            line = err.readLine();
        }
        assertThat(line).as(begin).isNotNull();
        return line;
    }

    private void ask(String... words) throws IOException {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$')
                    .append(word.length())
                    .append("\r\n")
                    .append(word)
                    .append("\r\n");
        }
        socket.getOutputStream().write(command.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private void get(String key) throws IOException {
        ask("CACHE.GET", key, "id", "c=read,t=acme,d=480");
        assertThat(answers.readLine()).isEqualTo("-BUSY 2000");
    }

    private void signal(String name) throws Exception {
        assertThat(new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor())
                .isZero();
    }

    /** A router starts fast and small: what only the simulation needs must not come along. */
    @Test
    void itLoadsNothingOfTheSimulation() throws Exception {
        start();
        String loaded = Files.readString(dir.resolve("loaded"));
        assertThat(loaded)
                .contains("slateseam.router.Router")
                .doesNotContain(
                        "slateseam.simulate",
                        "slateseam.standin",
                        "slateseam.rehearse",
                        "slateseam.trial",
                        "HdrHistogram",
                        "commons.rng");
    }

    /**
     * Idle user agents hold all the descriptors that they may while discovery is away: it is found when it is back, and one that
     * asks on a new connection is served.
     */
    @Test
    void idleUserAgentsLeaveRoomForDiscoveryForServersAndForWhoAsks() throws Exception {
        int limit = 128;
        List<Socket> idle = new ArrayList<>();
        try (ServerSocket cache = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            int away;
            try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                away = reserved.getLocalPort();
            }
            String config = Files.readString(Path.of("examples/config.json"))
                    .replaceAll("127.0.0.1:(6379|7946)", "127.0.0.1:0")
                    .replaceFirst("(?s)\"hosts\": \\[.*?\\]", "\"hosts\": []")
                    .replaceFirst("\"sockets\": *\\d+", "\"sockets\": " + limit)
                    .replaceFirst("(\"discovery\": *\")127[^\"]*", "$1127.0.0.1:" + away);
            Path file = Files.writeString(dir.resolve("config.json"), config);
            launch(new ProcessBuilder(
                    "sh",
                    "-c",
                    "ulimit -n " + limit + "; exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
                            + "' -cp '" + System.getProperty("java.class.path") + "' slateseam.Main serve --config '"
                            + file + "'"));
            String serving = line("example: serving: at ");
            int port = Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1));
            for (int i = 0; i < 3 * limit; i++) {
                idle.add(new Socket("127.0.0.1", port));
            }
            try (ServerSocket discovery = new ServerSocket(away, 1, InetAddress.getLoopbackAddress())) {
                discovery.setSoTimeout(10_000);
                Socket call = discovery.accept();
                String list = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"c1\",\"dial\":\"127.0.0.1:"
                        + cache.getLocalPort()
                        + "\",\"site\":\"here\",\"class\":\"box\",\"block\":0,\"health\":\"ready\",\"share\":1,\"born_ms\":0}]}";
                call.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket = new Socket("127.0.0.1", port);
                socket.setSoTimeout(10_000);
                ask("CACHE.GET", "key", "id", "c=read,t=acme,d=9000");
                cache.setSoTimeout(10_000);
                Socket pass = cache.accept();
                assertThat(pass.getInputStream().read()).isEqualTo('*');
                pass.getOutputStream().write("*1\r\n$5\r\nvalue\r\n".getBytes(StandardCharsets.ISO_8859_1));
                answers =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                assertThat(answers.readLine()).isEqualTo("$5");
            }
        } finally {
            for (Socket one : idle) {
                one.close();
            }
        }
    }

    @Test
    void aPortThatSomebodyElseHoldsIsNamed() throws Exception {
        try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String at = "127.0.0.1:" + held.getLocalPort();
            String config = Files.readString(Path.of("examples/config.json"))
                    .replace("127.0.0.1:6379", at)
                    .replace("127.0.0.1:7946", "127.0.0.1:0");
            launch(config);
            assertThat(line("slateseam: serve: ")).startsWith("slateseam: serve: cannot listen at /" + at + ": ");
            assertThat(process.waitFor()).isEqualTo(1);
        }
    }

    /**
     * The virtual machine installs no handler for a SIGHUP that was ignored when it started, and says nothing: a router that was
     * started so kept its old settings and asked discovery at its old address, whatever the operators sent.
     */
    @Test
    void theDeployedLineTakesNewSettingsAlsoWhereItsStarterIgnoresHangups() throws Exception {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1");
        launchIgnoringHangups(line);
        line("example: serving: at ");
        signal("HUP");
        signal("TERM");
        assertThat(err.lines()).anyMatch(said -> said.startsWith("example: reloaded: "));
    }

    @Test
    void aRouterThatNoHangupReachesSaysSo() throws Exception {
        launchIgnoringHangups("exec java -jar target/slateseam.jar serve");
        line("example: signal-ignored: signal=HUP ");
        signal("TERM");
    }

    /** The classes that a run has loaded, of this program and of TLS. */
    private List<String> loaded() throws Exception {
        signal("TERM");
        process.waitFor();
        return Files.readAllLines(dir.resolve("loaded")).stream()
                .map(line -> line.replaceAll("^(\\[.*?])+ | source:.*", ""))
                .filter(name -> name.matches("(slateseam|(java|javax|sun)\\.(net|security)\\.ssl)\\..*"))
                .toList();
    }

    /** What is off costs neither memory nor time at the start. */
    @Test
    void whatIsOffLoadsNoClass() throws Exception {
        start("hot_list on");
        get("k");
        assertThat(loaded())
                .contains("slateseam.router.farm.Watch")
                .noneMatch(
                        name -> name.matches(
                                "slateseam\\.(router\\.(kubernetes|membership|snapshot|tls)|show)\\..*|.*\\.ssl\\..*|.*net\\.Errands"));
        start(
                "kubernetes_api http://127.0.0.1:1",
                "kubernetes_namespace n",
                "kubernetes_service s",
                "kubernetes_port p",
                "kubernetes_origin 127.0.0.1:1",
                "snapshot_folder " + dir);
        line("example: kubernetes-unreachable: ");
        assertThat(loaded())
                .contains("slateseam.router.kubernetes.Follower", "slateseam.router.snapshot.Store")
                .noneMatch(name -> name.matches(".*\\.ssl\\..*|.*\\.TlsTransport"));
    }

    @Test
    void aSignalShowsTheKeyThatWasAskedForMost() throws Exception {
        start("hot_list on", "hot_show 3");
        for (int i = 0; i < 3_000; i++) {
            get(i % 3 == 0 ? "famous" : "k" + i);
        }
        signal("USR1");
        List<String> shown = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            shown.add(line("hot "));
        }
        assertThat(shown).allMatch(line -> line.matches("hot t=acme key=\\w+ rate=[0-9.]+/s err<=[0-9.]+/s"));
        assertThat(shown.get(0)).startsWith("hot t=acme key=famous rate=");
        // 1000 requests, too high by 3000 / 512 at most; what the figures are cut off at changes with the time spent.
        String[] figures = shown.get(0).replaceAll("[^0-9. ]", "").trim().split(" +");
        assertThat(Double.parseDouble(figures[0]) / Double.parseDouble(figures[1]))
                .isBetween(80.0, 180.0);
    }

    @Test
    void behindTheCapNoFigureFollows() throws Exception {
        start("figures on", "figures_flush_ms 100", "figures_stderr_max_kb 1");
        for (int i = 0; !err.ready() || !err.readLine().equals("figures capped"); i++) {
            get("k" + i);
        }
        for (int i = 0; i < 1_000; i++) {
            get("k" + i);
        }
        signal("TERM");
        assertThat(err.lines()).noneMatch(line -> line.startsWith("slateseam.") || line.startsWith("figures"));
    }

    @Test
    void aReaderOfStandardErrorThatHasStoppedHoldsUpNeitherRequestsNorTheEnd() throws Exception {
        start("hot_list on", "hot_show 100", "figures on", "figures_flush_ms 100");
        for (int i = 0; i < 100; i++) {
            get("k".repeat(300) + i);
        }
        // A pipe takes 64 KiB, and each signal brings 30 KB: with what waits in the router nothing goes on soon.
        for (int i = 0; process.getErrorStream().available() < 60_000; i++) {
            assertThat(i).isLessThan(100_000);
            signal("USR1");
            get("k");
        }
        for (int i = 0; i < 100; i++) {
            signal("USR1");
            get("k" + i);
        }
        signal("TERM");
        assertThat(process.waitFor()).isEqualTo(143);
    }
}
