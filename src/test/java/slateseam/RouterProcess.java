package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Stream;

/** A router as the deploy file starts it, from a jar of the classes under test: a process of its own, seen from outside. */
final class RouterProcess implements AutoCloseable {
    private static final Path DEPLOY = Path.of("deploy/balancer.toml");
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");
    private static final String RUN = "run = \"";
    private static final String SERVING = ": serving: at ";
    /** The clock ticks of a second that the system counts processor time in. */
    private static final long TICKS = 100;

    private static final int USER_TIME = 11;

    private final Process process;
    private final BufferedReader log;
    private final List<String> said = new ArrayList<>();
    private int port;

    private RouterProcess(Process process) {
        this.process = process;
        this.log = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    /** Writes the classes under test to a jar that can be run, with those of a folder in place of its own; null for none. */
    static Path jar(Path file, Path planted) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "slateseam.Main");
        List<String> libraries = Stream.of(System.getProperty("java.class.path").split(":"))
                .filter(path -> path.matches(".*/(json|commons-cli|commons-rng-[a-z-]+|HdrHistogram)-[0-9.]+\\.jar"))
                .map(path -> Path.of(path).toUri().toString())
                .toList();
        manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, String.join(" ", libraries));
        Path classes = Path.of("target/classes");
        try (JarOutputStream jar = new JarOutputStream(Files.newOutputStream(file), manifest);
                Stream<Path> all = Files.walk(classes)) {
            for (Path path : all.filter(Files::isRegularFile).sorted().toList()) {
                String name = classes.relativize(path).toString();
                Path other = planted == null ? path : planted.resolve(name);
                jar.putNextEntry(new JarEntry(name));
                Files.copy(Files.exists(other) ? other : path, jar);
                jar.closeEntry();
            }
        }
        return file;
    }

    /** Makes the archive of classes for a jar, as the deploy file's build does. */
    static Path archive(Path jar) throws IOException, InterruptedException {
        Path archive = Path.of(jar.toString().replace(".jar", ".jsa"));
        String line = deployed(jar)
                .replaceFirst("-XX:SharedArchiveFile=", "-XX:ArchiveClassesAtExit=")
                .replace("-Xshare:auto", "")
                .replace(" serve ", " rehearse ");
        assertThat(new ProcessBuilder("sh", "-c", line)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor())
                .isZero();
        assertThat(archive).exists();
        return archive;
    }

    /** The deployed line that starts a router, with a jar and an archive beside it. */
    private static String deployed(Path jar) throws IOException {
        String line = Files.readAllLines(DEPLOY).stream()
                .filter(l -> l.startsWith(RUN))
                .findFirst()
                .orElseThrow();
        return line.substring(RUN.length(), line.lastIndexOf('"'))
                .replace(" java ", " '" + JAVA + "' ")
                .replace("target/slateseam.jar", "'" + jar + "'")
                .replace("target/slateseam.jsa", jar.toString().replace(".jar", ".jsa"));
    }

    /**
     * Starts it by the deployed line.
     *
     * @param before what a shell runs first, such as a limit; may be empty
     */
    static RouterProcess start(Path jar, Path folder, String config, String before) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", before + deployed(jar));
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config).toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new RouterProcess(
                builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start());
    }

    /** The example's configuration, at free ports, with other addresses of its servers and of discovery. */
    static String config(int cache, int origin, int discovery, int sockets) throws IOException {
        return Files.readString(Path.of("examples/config.json"))
                .replaceAll("127.0.0.1:(6379|7946)", "127.0.0.1:0")
                .replace("127.0.0.1:7001", "127.0.0.1:" + cache)
                .replace("127.0.0.1:7000", "127.0.0.1:" + origin)
                .replace("127.0.0.1:8500", "127.0.0.1:" + discovery)
                .replaceFirst("\"sockets\": *\\d+", "\"sockets\": " + sockets);
    }

    /** Reads its log until a line has this. */
    String awaitLine(String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            said.add(line);
            line = log.readLine();
        }
        assertThat(line).as("%s, behind %s", part, said).isNotNull();
        return line;
    }

    /** Waits until it says that it serves. */
    RouterProcess awaitServing() throws IOException {
        String line = awaitLine(SERVING);
        port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
        return this;
    }

    /** A new connection to it. */
    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        return socket;
    }

    /** A command in the form that user agents send. */
    static byte[] command(String... words) {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$')
                    .append(word.length())
                    .append("\r\n")
                    .append(word)
                    .append("\r\n");
        }
        return command.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends bytes and reads the first line that comes. */
    static String ask(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        return line(socket.getInputStream());
    }

    /** A line without its end; null at the end of the connection. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                return null;
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    /** The processor time that it has used, in milliseconds. */
    long processorMillis() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[USER_TIME + 1])) * 1_000 / TICKS;
    }

    /** The most memory that it has held so far, in MiB. */
    long mostResidentMib() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                        .filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .sum()
                / 1024;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
