package slateseam.standin.sockets;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.CertIOException;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** An authority made for one test, which signs servers' certificates as asked: good, expired, or of another name. */
public final class Certificates {
    private static final char[] NO_SECRET = "none".toCharArray();

    private final KeyPair keys;
    private final X500Name name;
    private final X509Certificate certificate;
    private long serial = 1;

    /** Makes an authority that is good for a day. */
    public Certificates(String commonName) {
        keys = keys();
        name = new X500Name("CN=" + commonName);
        Instant now = Instant.now();
        certificate = sign(name, keys, now.minus(Duration.ofDays(2)), now.plus(Duration.ofDays(1)), null);
    }

    /** Its certificate, as in a CA file. */
    public String pem() {
        StringWriter text = new StringWriter();
        try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
            writer.writeObject(certificate);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** What a server with a new certificate for a name, or for an IP address, speaks TLS by. */
    public SSLContext server(String host, Instant until) {
        return server(host, Instant.now().minus(Duration.ofDays(2)), until);
    }

    /** The same, good from and up to some time. */
    public SSLContext server(String host, Instant from, Instant until) {
        try {
            KeyPair own = keys();
            X509Certificate signed = sign(
                    new X500Name("CN=" + host),
                    own,
                    from,
                    until,
                    new GeneralNames(new GeneralName(
                            host.matches("[0-9.]+|.*:.*") ? GeneralName.iPAddress : GeneralName.dNSName, host)));
            KeyStore store = KeyStore.getInstance("PKCS12");
            store.load(null, null);
            store.setKeyEntry("server", own.getPrivate(), NO_SECRET, new X509Certificate[] {signed, certificate});
            KeyManagerFactory managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            managers.init(store, NO_SECRET);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(managers.getKeyManagers(), null, null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The same, good for a day. */
    public SSLContext server(String host) {
        return server(host, Instant.now().plus(Duration.ofDays(1)));
    }

    private static KeyPair keys() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(256);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private X509Certificate sign(X500Name subject, KeyPair own, Instant from, Instant until, GeneralNames names) {
        X509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                name, BigInteger.valueOf(serial++), Date.from(from), Date.from(until), subject, own.getPublic());
        try {
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(names == null));
            if (names != null) {
                builder.addExtension(Extension.subjectAlternativeName, false, names);
            }
            return new JcaX509CertificateConverter()
                    .getCertificate(
                            builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate())));
        } catch (CertIOException | OperatorCreationException | GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
