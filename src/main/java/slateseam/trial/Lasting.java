package slateseam.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import slateseam.simulate.scenario.Fault;
import slateseam.trial.disk.Lie;
import slateseam.trial.disk.LyingProvider;

/**
 * What routers keep on disks that lie: a folder each, the line of the virtual machine that makes it lie, and the check of what a
 * router says of its snapshot at a start against what lies there, by a reading of the file that is not the program's.
 */
final class Lasting {
    private static final String SNAPSHOT = "snapshot_folder %s\nsnapshot_every_ms 100\n";
    private static final String IN_USE = "in use";
    private static final String NONE = "there is none";
    private static final String MALFORMED = "what it holds cannot be read";
    private static final int LENGTH_AT = 10;

    private enum State {
        NONE,
        WHOLE,
        DAMAGED,
        HIDDEN
    }

    private final Path folder;
    private final Findings findings;
    private final Map<String, Set<Lie>> lies = new HashMap<>();
    private final Map<String, Long> slow = new HashMap<>();
    /** What lay there at the start of those whose first word on it has not come yet. */
    private final Map<String, State> awaited = new HashMap<>();

    /**
     * Prepares it.
     *
     * @param folder of the trial
     */
    Lasting(Path folder, Findings findings) {
        this.folder = folder;
        this.findings = findings;
    }

    private Path state(String router) {
        return folder.resolve(router).resolve("state");
    }

    private Path control(String router) {
        return folder.resolve(router).resolve("lies");
    }

    /** What a router's features are to say beside the usual. */
    String features(String router) {
        return String.format(Locale.ROOT, SNAPSHOT, state(router));
    }

    /** What the virtual machine is told, so that the folder lies. */
    String options(String router, long seed) {
        return quoted("java.nio.file.spi.DefaultFileSystemProvider", LyingProvider.class.getName())
                + quoted(LyingProvider.FOLDER, state(router))
                + quoted(LyingProvider.LIES, control(router))
                + quoted(LyingProvider.SEED, seed);
    }

    private static String quoted(String property, Object value) {
        return " \"-D" + property + "=" + value + "\"";
    }

    /** A router's disk lies so from now on, or no longer. */
    void lie(String router, Fault fault, boolean on) {
        Lie lie = Lie.find(fault.kind().word().substring("disk-".length()));
        Set<Lie> now = lies.computeIfAbsent(router, r -> EnumSet.noneOf(Lie.class));
        if (on) {
            now.add(lie);
            slow.put(router, lie == Lie.SLOW ? (long) fault.size() / 1_000_000 : slow.getOrDefault(router, 0L));
        } else {
            now.remove(lie);
        }
        StringBuilder text = new StringBuilder();
        now.forEach(one -> text.append(one.word())
                .append(one == Lie.SLOW ? " " + slow.get(router) : "")
                .append('\n'));
        try {
            Path next = Files.writeString(control(router).resolveSibling("lies.next"), text);
            Files.move(next, control(router), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Empties a router's folder. */
    void empty(String router) {
        try {
            for (String name : files(router).keySet()) {
                Files.deleteIfExists(state(router).resolve(name));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, byte[]> files(String router) throws IOException {
        Map<String, byte[]> all = new TreeMap<>();
        if (Files.isDirectory(state(router))) {
            try (Stream<Path> files = Files.list(state(router))) {
                for (Path file : files.toList()) {
                    all.put(file.getFileName().toString(), Files.readAllBytes(file));
                }
            }
        }
        return all;
    }

    /** A router is about to start: what it will find. */
    void starts(String router) throws IOException {
        byte[] file = files(router).get(router + ".farm");
        awaited.put(
                router,
                lies.getOrDefault(router, Set.of()).contains(Lie.GONE)
                        ? State.HIDDEN
                        : file == null ? State.NONE : isWhole(file) ? State.WHOLE : State.DAMAGED);
    }

    private static boolean isWhole(byte[] file) {
        int end = file.length - Integer.BYTES;
        if (end < LENGTH_AT + Integer.BYTES) {
            return false;
        }
        CRC32C sum = new CRC32C();
        sum.update(file, 0, end);
        ByteBuffer bytes = ByteBuffer.wrap(file);
        return bytes.getInt(LENGTH_AT) == file.length
                && bytes.getInt(end) == (int) sum.getValue()
                && new String(file, 0, 7, StandardCharsets.US_ASCII).equals("SLTFARM");
    }

    /** A router says something; of its first word on its snapshot it is checked whether it is so. */
    void said(String router, String line) {
        if (!line.startsWith(router + ": snapshot: ") || !awaited.containsKey(router)) {
            return;
        }
        State state = awaited.remove(router);
        boolean right = switch (state) {
            case NONE -> line.contains(NONE);
            case WHOLE -> line.contains(IN_USE);
            case DAMAGED -> !line.contains(IN_USE) && !line.contains(NONE) && !line.contains(MALFORMED);
            // It may have looked only when the folder was back.
            case HIDDEN -> !line.contains(IN_USE) || !lies.get(router).contains(Lie.GONE);
        };
        if (!right) {
            findings.add(
                    "lasting",
                    router,
                    "its snapshot was " + state.name().toLowerCase(Locale.ROOT) + " at its start, and it said: "
                            + line);
        }
    }
}
