package slateseam.scale;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What a process has spent until now, as the system tells it.
 *
 * @param cpuNanos processor time of all its threads, those that have ended among them, to 10 ms
 * @param delayNanos by thread, for how long it could have run and had no processor; of those threads alone that are looked at
 * @param residentBytes of memory now
 */
record ProcessCost(long cpuNanos, Map<String, Long> delayNanos, long residentBytes) {
    private static final long KIBIBYTE = 1_024;
    /** A tick of the system's accounts: 100 a second in all builds of Linux that matter (USER_HZ). */
    private static final long TICK_NANOS = 10_000_000L;
    /** Of the words behind the name in parentheses. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;

    /** Reads it from {@code /proc}; delays are those of the threads that the system knows by such a name. */
    static ProcessCost of(long pid, Predicate<String> threads) throws IOException {
        Path folder = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(folder.resolve("stat"));
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long cpu = (Long.parseLong(words[USER_TIME]) + Long.parseLong(words[SYSTEM_TIME])) * TICK_NANOS;
        String resident = Files.readAllLines(folder.resolve("status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .findFirst()
                .orElse("VmRSS: 0 kB");
        return new ProcessCost(
                cpu, delays(folder, threads), Long.parseLong(resident.replaceAll("[^0-9]", "")) * KIBIBYTE);
    }

    private static Map<String, Long> delays(Path folder, Predicate<String> threads) throws IOException {
        Map<String, Long> delays = new HashMap<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder.resolve("task"))) {
            for (Path thread : all) {
                try {
                    if (!threads.test(Files.readString(thread.resolve("comm")).strip())) {
                        continue;
                    }
                    delays.put(
                            thread.getFileName().toString(),
                            Long.parseLong(Files.readString(thread.resolve("schedstat"))
                                    .trim()
                                    .split(" ")[1]));
                } catch (NoSuchFileException e) {
                    // It has ended meanwhile.
                }
            }
        }
        return delays;
    }

    /** For how long, since an earlier look, the thread that waited most waited for a processor; new threads count from their start. */
    long longestDelaySince(ProcessCost before) {
        return delayNanos.entrySet().stream()
                .mapToLong(thread -> thread.getValue() - before.delayNanos.getOrDefault(thread.getKey(), 0L))
                .max()
                .orElse(0);
    }
}
