package slateseam.router.tls;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests. */
public final class Authority {
    private static long serials;
    private final X500Name name;
    private final KeyPair keys = keys();
    private final X509Certificate own;

    /** Makes one with a certificate of its own. */
    public Authority(String name) throws Exception {
        this.name = new X500Name("CN=" + name);
        own = signed(this.name, keys, Duration.ofDays(-1), Duration.ofDays(1), true);
    }

    private static KeyPair keys() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    private X509Certificate signed(X500Name of, KeyPair its, Duration from, Duration to, boolean authority,
            GeneralName... names) throws Exception {
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(name, BigInteger.valueOf(++serials),
                Date.from(Instant.now().plus(from)), Date.from(Instant.now().plus(to)), of, its.getPublic());
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(authority));
        if (names.length > 0) {
            builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(names));
        }
        return new JcaX509CertificateConverter().getCertificate(
                builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate())));
    }

    /** Writes its certificate to a file in PEM. */
    public Path pem(Path file) throws Exception {
        String lines = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(own.getEncoded());
        return Files.write(file, ("-----BEGIN CERTIFICATE-----\n" + lines + "\n-----END CERTIFICATE-----\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** What a server at an address or a name needs; its certificate is valid for a day around now. */
    public SSLContext server(String host) throws Exception {
        return server(host, Duration.ofDays(-1), Duration.ofDays(1));
    }

    /** The same with a certificate that is valid from and up to so long from now. */
    public SSLContext server(String host, Duration from, Duration to) throws Exception {
        boolean literal = host.matches("[0-9.]+|.*:.*");
        KeyPair its = keys();
        X509Certificate certificate = signed(new X500Name("CN=api"), its, from, to, false,
                new GeneralName(literal ? GeneralName.iPAddress : GeneralName.dNSName, host));
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry("api", its.getPrivate(), new char[0], new X509Certificate[] {certificate, own});
        KeyManagerFactory managers = KeyManagerFactory.getInstance("PKIX");
        managers.init(store, new char[0]);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(managers.getKeyManagers(), null, null);
        return context;
    }
}
