package slateseam.trial.disk;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.spi.FileSystemProvider;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * The default file system of a router under trial. All but one folder is the system's; in that folder a file's bytes and names reach
 * the system only once they were forced, so that SIGKILL loses what a power cut would, and the disk lies as a control file says.
 *
 * <p>Properties: {@code slateseam.trial.folder}, {@code slateseam.trial.lies} (the control file: a word of {@link Lie} a line, behind
 * {@code slow} its milliseconds) and {@code slateseam.trial.seed}.
 */
public final class LyingProvider extends FileSystemProvider {
    /** Where the folder lies. */
    public static final String FOLDER = "slateseam.trial.folder";
    /** The control file. */
    public static final String LIES = "slateseam.trial.lies";
    /** What is drawn. */
    public static final String SEED = "slateseam.trial.seed";

    private static final long LOOK_MILLIS = 10;

    private final FileSystemProvider real;
    private final LyingFileSystem fileSystem;
    private final Path root;
    private final Path control;
    private final LyingFolder folder;
    private volatile long slowNanos;

    /** Is called by the virtual machine, with the system's own provider. */
    public LyingProvider(FileSystemProvider real) throws IOException {
        this.real = real;
        FileSystem system = real.getFileSystem(URI.create("file:///"));
        fileSystem = new LyingFileSystem(this, system);
        root = system.getPath(System.getProperty(FOLDER));
        control = system.getPath(System.getProperty(LIES));
        Files.createDirectories(root);
        folder = new LyingFolder(new Real(), new SplittableRandom(Long.getLong(SEED, 1)));
        look();
        Thread watch = new Thread(this::watch, "lies");
        watch.setDaemon(true);
        watch.start();
    }

    /** What the system keeps; a file is replaced by renaming, so that no end of the process leaves half of it. */
    private final class Real implements DurableFiles {
        @Override
        public Map<String, byte[]> all() throws IOException {
            Map<String, byte[]> all = new HashMap<>();
            try (Stream<Path> files = Files.list(root)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String name = file.getFileName().toString();
                    if (!isBeside(name)) {
                        all.put(name, Files.readAllBytes(file));
                    }
                }
            }
            return all;
        }

        @Override
        public void put(String name, byte[] bytes) throws IOException {
            Files.move(
                    Files.write(root.resolve(name + ".beside"), bytes),
                    root.resolve(name),
                    StandardCopyOption.ATOMIC_MOVE);
        }

        @Override
        public void remove(String name) throws IOException {
            Files.deleteIfExists(root.resolve(name));
        }
    }

    private static boolean isBeside(String name) {
        return name.endsWith(".beside") || name.endsWith(".locked");
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(LOOK_MILLIS);
                look();
            }
        } catch (InterruptedException e) {
            // Nobody does.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void look() throws IOException {
        Set<Lie> lies = EnumSet.noneOf(Lie.class);
        try {
            for (String line : Files.readString(control, StandardCharsets.UTF_8).split("\n")) {
                String[] words = line.split(" ");
                Lie lie = Lie.find(words[0]);
                if (lie != null) {
                    lies.add(lie);
                }
                if (lie == Lie.SLOW && words.length > 1) {
                    slowNanos = Long.parseLong(words[1]) * 1_000_000;
                }
            }
        } catch (NoSuchFileException e) {
            // The disk is honest.
        }
        folder.lie(lies);
    }

    /** The name within the folder; null for what lies elsewhere. */
    private String name(Path path) {
        Path at = LyingPath.real(path).toAbsolutePath().normalize();
        return root.equals(at.getParent()) ? at.getFileName().toString() : null;
    }

    private boolean isRoot(Path path) {
        return root.equals(LyingPath.real(path).toAbsolutePath().normalize());
    }

    private Path ours(Path path) {
        return new LyingPath(fileSystem, path);
    }

    @Override
    public FileChannel newFileChannel(Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws IOException {
        String name = name(path);
        if (isRoot(path)) {
            folder.openNames();
            return new LyingChannel(folder, ".", null, slowNanos, null);
        }
        if (name == null) {
            return real.newFileChannel(LyingPath.real(path), options, attributes);
        }
        return open(name, options);
    }

    private LyingChannel open(String name, Set<? extends OpenOption> options) throws IOException {
        boolean write = options.contains(StandardOpenOption.WRITE) || options.contains(StandardOpenOption.APPEND);
        boolean fresh = options.contains(StandardOpenOption.CREATE_NEW);
        if (fresh && folder.has(name)) {
            throw new java.nio.file.FileAlreadyExistsException(name);
        }
        LyingFolder.Node node = folder.open(
                name,
                write && (fresh || options.contains(StandardOpenOption.CREATE)),
                write,
                write && options.contains(StandardOpenOption.TRUNCATE_EXISTING));
        LyingChannel channel = new LyingChannel(
                folder,
                name,
                node,
                slowNanos,
                () -> FileChannel.open(
                        root.resolve(name + ".locked"), StandardOpenOption.CREATE, StandardOpenOption.WRITE));
        return options.contains(StandardOpenOption.APPEND) ? (LyingChannel) channel.position(channel.size()) : channel;
    }

    @Override
    public SeekableByteChannel newByteChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes) throws IOException {
        String name = name(path);
        return name == null ? real.newByteChannel(LyingPath.real(path), options, attributes) : open(name, options);
    }

    @Override
    public void move(Path from, Path to, CopyOption... options) throws IOException {
        String one = name(from);
        String other = name(to);
        if (one != null && other != null) {
            folder.rename(one, other);
        } else if (one == null && other == null) {
            real.move(LyingPath.real(from), LyingPath.real(to), options);
        } else {
            throw new UnsupportedOperationException("a move into or out of the folder that lies");
        }
    }

    @Override
    public void delete(Path path) throws IOException {
        if (!deleteIfExists(path)) {
            throw new NoSuchFileException(path.toString());
        }
    }

    @Override
    public boolean deleteIfExists(Path path) throws IOException {
        String name = name(path);
        return name == null ? real.deleteIfExists(LyingPath.real(path)) : folder.remove(name);
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws IOException {
        String name = name(path);
        if (name == null) {
            real.checkAccess(LyingPath.real(path), modes);
        } else if (!folder.has(name)) {
            throw new NoSuchFileException(path.toString());
        }
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(Path path, DirectoryStream.Filter<? super Path> filter)
            throws IOException {
        DirectoryStream<Path> stream = real.newDirectoryStream(LyingPath.real(path), one -> filter.accept(ours(one)));
        return new DirectoryStream<>() {
            @Override
            public Iterator<Path> iterator() {
                Iterator<Path> all = stream.iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return all.hasNext();
                    }

                    @Override
                    public Path next() {
                        return ours(all.next());
                    }
                };
            }

            @Override
            public void close() throws IOException {
                stream.close();
            }
        };
    }

    @Override
    public String getScheme() {
        return real.getScheme();
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> environment) throws IOException {
        return real.newFileSystem(uri, environment);
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
        return fileSystem;
    }

    @Override
    public Path getPath(URI uri) {
        return ours(real.getPath(uri));
    }

    @Override
    public void createDirectory(Path path, FileAttribute<?>... attributes) throws IOException {
        real.createDirectory(LyingPath.real(path), attributes);
    }

    @Override
    public void copy(Path from, Path to, CopyOption... options) throws IOException {
        real.copy(LyingPath.real(from), LyingPath.real(to), options);
    }

    @Override
    public boolean isSameFile(Path one, Path other) throws IOException {
        return real.isSameFile(LyingPath.real(one), LyingPath.real(other));
    }

    @Override
    public boolean isHidden(Path path) throws IOException {
        return real.isHidden(LyingPath.real(path));
    }

    @Override
    public FileStore getFileStore(Path path) throws IOException {
        return real.getFileStore(LyingPath.real(path));
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(Path path, Class<V> type, LinkOption... options) {
        return real.getFileAttributeView(LyingPath.real(path), type, options);
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(Path path, Class<A> type, LinkOption... options)
            throws IOException {
        return real.readAttributes(LyingPath.real(path), type, options);
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String attributes, LinkOption... options) throws IOException {
        return real.readAttributes(LyingPath.real(path), attributes, options);
    }

    @Override
    public void setAttribute(Path path, String attribute, Object value, LinkOption... options) throws IOException {
        real.setAttribute(LyingPath.real(path), attribute, value, options);
    }
}
