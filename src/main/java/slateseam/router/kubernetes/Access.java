package slateseam.router.kubernetes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import slateseam.router.config.KubernetesSettings.Api;
import slateseam.router.net.Bytes;
import slateseam.router.tls.RefusedException;
import slateseam.router.tls.Trust;

/**
 * What it takes to talk to the API, read anew when its files have changed. Not for the loop: it reads files, and looks
 * up the API's name if it is no literal address. Used by one thread at a time.
 */
final class Access {
    private static final int MOST_TOKEN_BYTES = 64 * 1024;

    /**
     * As it stands now.
     *
     * @param trust null where the API is reached without TLS
     * @param token null where none is shown
     */
    record Ready(InetSocketAddress address, Trust trust, String token) {}

    /** What tells that a file was replaced or written. */
    private record Stamp(FileTime time, long size, Object key) {
        static Stamp of(Path file) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        }
    }

    private final Api api;
    private Stamp caStamp;
    private Trust trust;
    private Stamp tokenStamp;
    private String token;

    Access(Api api) {
        this.api = api;
    }

    /**
     * Reads what has changed.
     *
     * @param anew whether the token is read though its file looks the same
     * @throws RefusedException if something cannot be read or holds nothing usable; the message says what
     */
    Ready ready(boolean anew) throws RefusedException {
        readToken(anew);
        readTrust();
        try {
            // A literal address is taken as it is, and nobody is asked.
            return new Ready(new InetSocketAddress(InetAddress.getByName(api.host()), api.port()), trust, token);
        } catch (UnknownHostException e) {
            throw new RefusedException("the name " + api.host() + " is not known");
        }
    }

    /**
     * Reads the files that an API's settings name.
     *
     * @throws RefusedException if the router could not use them as they are; the message says why
     */
    static void check(Api api) throws RefusedException {
        Access access = new Access(api);
        access.readToken(true);
        access.readTrust();
    }

    private void readTrust() throws RefusedException {
        if (api.ca() == null) {
            return;
        }
        Stamp stamp = stamp(api.ca());
        if (!stamp.equals(caStamp)) {
            trust = Trust.read(api.ca());
            caStamp = stamp;
        }
    }

    private void readToken(boolean anew) throws RefusedException {
        if (api.token() == null) {
            return;
        }
        Stamp stamp = stamp(api.token());
        if (!anew && stamp.equals(tokenStamp)) {
            return;
        }
        tokenStamp = null;
        try {
            if (stamp.size > MOST_TOKEN_BYTES) {
                throw new RefusedException(
                        "the token in " + api.token() + " is longer than " + MOST_TOKEN_BYTES + " bytes");
            }
            token = new String(Files.readAllBytes(api.token()), StandardCharsets.ISO_8859_1).strip();
        } catch (IOException e) {
            throw unreadable(api.token(), e);
        }
        // Guards the head of the request: what is visible cannot end a line.
        if (token.isEmpty() || !token.chars().allMatch(Bytes::isVisible)) {
            throw new RefusedException("the token in " + api.token() + (token.isEmpty() ? " is empty" : " is none"));
        }
        tokenStamp = stamp;
    }

    private static Stamp stamp(Path file) throws RefusedException {
        try {
            return Stamp.of(file);
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    private static RefusedException unreadable(Path file, IOException e) {
        return e instanceof RefusedException refused
                ? refused
                : new RefusedException(
                        e instanceof NoSuchFileException ? "there is no file " + file : file + " cannot be read: " + e);
    }
}
