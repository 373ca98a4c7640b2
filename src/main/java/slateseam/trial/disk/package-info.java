/**
 * A file system that lies about one folder, for routers under trial. Its provider is named on the command line of the virtual
 * machine ({@code java.nio.file.spi.DefaultFileSystemProvider}), so that the router's own classes are what is shipped; whoever does
 * not name it never loads it.
 */
package slateseam.trial.disk;
