package slateseam.trial.disk;

import java.io.IOException;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.WatchService;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.Set;

/** The system's file system, with paths whose provider is ours. */
final class LyingFileSystem extends FileSystem {
    private final LyingProvider provider;
    private final FileSystem real;

    LyingFileSystem(LyingProvider provider, FileSystem real) {
        this.provider = provider;
        this.real = real;
    }

    @Override
    public FileSystemProvider provider() {
        return provider;
    }

    @Override
    public void close() {
        throw new UnsupportedOperationException("the default file system is never closed");
    }

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public boolean isReadOnly() {
        return false;
    }

    @Override
    public String getSeparator() {
        return real.getSeparator();
    }

    @Override
    public Iterable<Path> getRootDirectories() {
        return () -> java.util.stream.StreamSupport.stream(
                        real.getRootDirectories().spliterator(), false)
                .<Path>map(path -> new LyingPath(this, path))
                .iterator();
    }

    @Override
    public Iterable<FileStore> getFileStores() {
        return real.getFileStores();
    }

    @Override
    public Set<String> supportedFileAttributeViews() {
        return real.supportedFileAttributeViews();
    }

    @Override
    public Path getPath(String first, String... more) {
        return new LyingPath(this, real.getPath(first, more));
    }

    @Override
    public PathMatcher getPathMatcher(String syntaxAndPattern) {
        PathMatcher matcher = real.getPathMatcher(syntaxAndPattern);
        return path -> matcher.matches(LyingPath.real(path));
    }

    @Override
    public UserPrincipalLookupService getUserPrincipalLookupService() {
        return real.getUserPrincipalLookupService();
    }

    @Override
    public WatchService newWatchService() throws IOException {
        return real.newWatchService();
    }
}
