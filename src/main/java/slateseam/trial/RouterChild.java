package slateseam.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;

/** One process of a router, from its start to its end; everything is done to it by its id. */
public final class RouterChild {
    /** Of what it says; beyond it nothing more is written, though all is read, so that it never stands still for that. */
    private static final long MOST_LOG_BYTES = 16L << 20;

    private static final int LONGEST_LINE = 4_096;
    /** Seconds, in which one that is starved runs for its part. */
    private static final double STARVED_TURN = 0.1;

    private final String name;
    private final Process process;
    private final Thread reader;
    private volatile boolean expected;
    private volatile boolean serving;
    /** Stops it again and again; null while nothing does. */
    private Process starver;

    /**
     * Starts it.
     *
     * @param run the line that a shell is given, which ends by exec
     * @param log where its standard error goes, each line with the time since the trial's begin
     * @param said is told each line, on a thread of its own
     */
    public RouterChild(
            String name,
            String run,
            Path folder,
            Map<String, String> environment,
            Path log,
            BiConsumer<String, String> said)
            throws IOException {
        this.name = name;
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", run);
        builder.environment().putAll(environment);
        builder.directory(folder.toFile());
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        process = builder.start();
        reader = new Thread(() -> read(log, said), name + " says");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Path log, BiConsumer<String, String> said) {
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
                OutputStream out = Files.newOutputStream(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            long written = Files.size(log);
            for (String line; (line = in.readLine()) != null; ) {
                String kept = line.length() > LONGEST_LINE ? line.substring(0, LONGEST_LINE) : line;
                serving |= kept.startsWith(name + ": serving: ");
                byte[] bytes = (System.currentTimeMillis() + " " + kept + "\n").getBytes(StandardCharsets.UTF_8);
                if (written + bytes.length <= MOST_LOG_BYTES) {
                    out.write(bytes);
                    written += bytes.length;
                }
                said.accept(name, kept);
            }
        } catch (IOException | IllegalStateException e) {
            // It was killed while it was read, or the trial has ended; its own end is told by its status.
        }
    }

    /** Of the router. */
    public String name() {
        return name;
    }

    /** Whether it has said that it serves. */
    public boolean isServing() {
        return serving;
    }

    /** Whether its process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Whether it has ended though nobody told it to. */
    public boolean hasCrashed() {
        return !process.isAlive() && !expected;
    }

    /** What its process ended with; it must have ended. */
    public int status() {
        return process.exitValue();
    }

    /** Sends a signal; to one that has ended, nothing. */
    public void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        expected |= signal.equals("TERM") || signal.equals("KILL");
        try {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lets it run for only this part of each 100 ms, until {@link #feed}; what does so ends with it or with the trial. */
    void starve(double part) {
        try {
            feed();
            starver = new ProcessBuilder(
                            "sh",
                            "-c",
                            String.format(
                                    Locale.ROOT,
                                    "while kill -0 %d; do kill -STOP %d || exit; sleep %.3f; kill -CONT %d; sleep %.3f; done",
                                    ProcessHandle.current().pid(),
                                    process.pid(),
                                    STARVED_TURN * (1 - part),
                                    process.pid(),
                                    STARVED_TURN * part))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Lets it run again. */
    void feed() {
        if (starver != null) {
            starver.destroyForcibly().onExit().join();
            starver = null;
            signal("CONT");
        }
    }

    /** Ends it whatever state it is in, also one that is stopped, and waits until it has gone. */
    public void destroy() {
        expected = true;
        process.destroyForcibly();
        if (starver != null) {
            starver.destroyForcibly().onExit().join();
        }
        try {
            process.waitFor();
            reader.join(1_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Of its process. */
    public long pid() {
        return process.pid();
    }
}
