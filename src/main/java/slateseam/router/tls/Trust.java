package slateseam.router.tls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.util.Collection;
import java.util.concurrent.Executor;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.TrustManagerFactory;
import slateseam.router.net.Loop;

/** The certificate authorities of a file, and connections to servers that they vouch for. */
public final class Trust {
    private static final long MOST_BYTES = 1024 * 1024;
    private static final int MOST_CERTIFICATES = 1024;
    /** Guards against certificates that are over, or whose authority is not asked any more, by way of old sessions. */
    private static final int SESSION_SECONDS = 600;

    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final SSLContext context;
    private final Rooms rooms;

    private Trust(SSLContext context) {
        this.context = context;
        this.rooms = new Rooms(context.createSSLEngine().getSession());
    }

    /**
     * Reads a file of certificates in PEM. Not to be called on the loop: it reads, and loads what TLS needs.
     *
     * @param file at most 1 MiB and 1,024 certificates
     * @throws RefusedException if it cannot be read or holds no certificate; the message says which
     */
    public static Trust read(Path file) throws RefusedException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new RefusedException("the file of authorities " + file + " is over 1 MiB");
            }
            return of(certificates(file, Files.readAllBytes(file)));
        } catch (NoSuchFileException e) {
            throw new RefusedException("there is no file of authorities " + file);
        } catch (IOException e) {
            throw new RefusedException("the file of authorities " + file + " cannot be read: " + e);
        } catch (GeneralSecurityException e) {
            throw new RefusedException("this Java cannot speak TLS: " + e);
        }
    }

    private static Collection<? extends Certificate> certificates(Path file, byte[] pem)
            throws RefusedException, GeneralSecurityException {
        CertificateFactory factory = CertificateFactory.getInstance("X.509");
        try {
            Collection<? extends Certificate> all = factory.generateCertificates(new ByteArrayInputStream(pem));
            if (all.isEmpty() || all.size() > MOST_CERTIFICATES) {
                throw new RefusedException(
                        "the file of authorities " + file + " holds " + all.size() + " certificates");
            }
            return all;
        } catch (CertificateException e) {
            throw new RefusedException("the file of authorities " + file + " holds something else than certificates");
        }
    }

    private static Trust of(Collection<? extends Certificate> authorities)
            throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
        store.load(null, null);
        for (Certificate authority : authorities) {
            store.setCertificateEntry("authority" + store.size(), authority);
        }
        TrustManagerFactory managers = TrustManagerFactory.getInstance("PKIX");
        managers.init(store);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, managers.getTrustManagers(), null);
        context.getClientSessionContext().setSessionTimeout(SESSION_SECONDS);
        Trust trust = new Trust(context);
        trust.warmUp();
        return trust;
    }

    /** Says hello to nobody: the first time that takes a tenth of a second, most of it the loading of classes. */
    private void warmUp() throws SSLException {
        SSLEngine engine = engine("localhost", 1);
        engine.beginHandshake();
        engine.wrap(ByteBuffer.allocate(0), ByteBuffer.allocate(rooms.packet()));
    }

    private SSLEngine engine(String host, int port) {
        SSLEngine engine = context.createSSLEngine(host, port);
        engine.setUseClientMode(true);
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setProtocols(PROTOCOLS);
        // This checks names and addresses against the certificate's.
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        engine.setSSLParameters(parameters);
        return engine;
    }

    /**
     * A transport for one connection to a server.
     *
     * @param host the name, or the literal address without brackets, that its certificate must name
     * @param aside does what would hold up the loop
     */
    public TlsTransport connect(Loop loop, Executor aside, String host, int port) {
        return new TlsTransport(engine(host, port), rooms, loop, aside);
    }
}
