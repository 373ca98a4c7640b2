package slateseam.trial.disk;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.FileSystem;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.WatchEvent;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;

/** A path of the system's file system whose provider is ours. */
record LyingPath(LyingFileSystem fileSystem, Path real) implements Path {
    static Path real(Path path) {
        return path instanceof LyingPath lying ? lying.real : path;
    }

    private Path ours(Path path) {
        return path == null ? null : new LyingPath(fileSystem, path);
    }

    @Override
    public FileSystem getFileSystem() {
        return fileSystem;
    }

    @Override
    public boolean isAbsolute() {
        return real.isAbsolute();
    }

    @Override
    public Path getRoot() {
        return ours(real.getRoot());
    }

    @Override
    public Path getFileName() {
        return ours(real.getFileName());
    }

    @Override
    public Path getParent() {
        return ours(real.getParent());
    }

    @Override
    public int getNameCount() {
        return real.getNameCount();
    }

    @Override
    public Path getName(int index) {
        return ours(real.getName(index));
    }

    @Override
    public Path subpath(int from, int to) {
        return ours(real.subpath(from, to));
    }

    @Override
    public boolean startsWith(Path other) {
        return real.startsWith(real(other));
    }

    @Override
    public boolean endsWith(Path other) {
        return real.endsWith(real(other));
    }

    @Override
    public Path normalize() {
        return ours(real.normalize());
    }

    @Override
    public Path resolve(Path other) {
        return ours(real.resolve(real(other)));
    }

    @Override
    public Path relativize(Path other) {
        return ours(real.relativize(real(other)));
    }

    @Override
    public URI toUri() {
        return real.toUri();
    }

    @Override
    public Path toAbsolutePath() {
        return ours(real.toAbsolutePath());
    }

    @Override
    public Path toRealPath(LinkOption... options) throws IOException {
        return ours(real.toRealPath(options));
    }

    @Override
    public File toFile() {
        return real.toFile();
    }

    @Override
    public WatchKey register(WatchService watcher, WatchEvent.Kind<?>[] events, WatchEvent.Modifier... modifiers)
            throws IOException {
        return real.register(watcher, events, modifiers);
    }

    @Override
    public int compareTo(Path other) {
        return real.compareTo(real(other));
    }

    @Override
    public String toString() {
        return real.toString();
    }
}
