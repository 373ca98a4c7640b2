package slateseam.standin.sockets;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.time.Instant;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLHandshakeException;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.standin.Party;
import slateseam.standin.Wire;

class SocketNetTest {
    private static final int LIMIT_MILLIS = 20_000;
    private static final int MUCH = 4 << 20;

    private final SocketNet net;
    /** The last connection; used on the net's thread only. */
    private Wire taken;

    SocketNetTest() throws IOException {
        net = new SocketNet(3);
    }

    @AfterEach
    void close() {
        net.close();
    }

    /** Says all back, ends when the other side does, and pauses once, after so many bytes. */
    private static final class Echo implements Party {
        private final int pausesAfter;
        private int got;

        Echo(int pausesAfter) {
            this.pausesAfter = pausesAfter;
        }

        @Override
        public void received(Wire wire, byte[] bytes) {
            wire.write(bytes);
            boolean before = got < pausesAfter;
            got += bytes.length;
            if (before && got >= pausesAfter) {
                wire.pause(true);
            }
        }

        @Override
        public void ended(Wire wire) {
            wire.end();
        }

        @Override
        public void broken(Wire wire) {}
    }

    private void listen(int pausesAfter) {
        net.run(() -> net.listen("a", wire -> {
            taken = wire;
            return new Echo(pausesAfter);
        }));
    }

    /** Lets the connection go on, once it is paused. */
    private void resume() {
        while (!net.call(() -> ((Connection) taken).isPaused())) {
            Thread.onSpinWait();
        }
        net.run(() -> taken.pause(false));
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(LIMIT_MILLIS);
        socket.connect(net.address("a"), LIMIT_MILLIS);
        return socket;
    }

    private SSLSocket secured(Certificates authority, String host) throws Exception {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setCertificateEntry(
                "ca",
                CertificateFactory.getInstance("X.509")
                        .generateCertificate(
                                new ByteArrayInputStream(authority.pem().getBytes(StandardCharsets.US_ASCII))));
        TrustManagerFactory managers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        managers.init(store);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, managers.getTrustManagers(), null);
        SSLSocket socket = (SSLSocket) context.getSocketFactory()
                .createSocket(dial(), host, net.address("a").getPort(), true);
        SSLParameters parameters = socket.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        socket.setSSLParameters(parameters);
        return socket;
    }

    /** Guards pauses and writes that the system takes in parts only: all must come back, with and without TLS. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bytesComeBackWholeThoughNobodyReadsThemForATime(boolean tls) throws Exception {
        Certificates authority = new Certificates("a");
        net.tls("a", tls ? authority.server("localhost") : null);
        listen(100_000);
        byte[] much = new byte[MUCH];
        for (int i = 0; i < much.length; i++) {
            much[i] = (byte) (i * 31 >> 3);
        }
        try (Socket socket = tls ? secured(authority, "localhost") : dial()) {
            CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
                try {
                    socket.getOutputStream().write(much);
                    socket.shutdownOutput();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            byte[] begin = socket.getInputStream().readNBytes(100_000);
            resume();
            byte[] rest = socket.getInputStream().readAllBytes();
            written.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(begin.length + rest.length).isEqualTo(MUCH);
            assertThat(begin).isEqualTo(Arrays.copyOf(much, begin.length));
            assertThat(rest).isEqualTo(Arrays.copyOfRange(much, begin.length, MUCH));
        }
    }

    /** Guards what was read with the record before the pause: no readiness tells of it. */
    @Test
    void whatTlsHoldsBackOverAPauseIsReadBehindIt() throws Exception {
        Certificates authority = new Certificates("a");
        net.tls("a", authority.server("localhost"));
        listen(2);
        try (Socket socket = secured(authority, "localhost")) {
            socket.getOutputStream().write('a');
            assertThat(socket.getInputStream().read()).isEqualTo('a');
            // Both come while the thread is held up, so that it reads them at once.
            net.run(() -> {
                try {
                    socket.getOutputStream().write('b');
                    socket.getOutputStream().write('c');
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertThat(socket.getInputStream().read()).isEqualTo('b');
            resume();
            assertThat(socket.getInputStream().read()).isEqualTo('c');
        }
    }

    @ParameterizedTest
    @CsvSource({
        "expired, validity check failed",
        "name, No subject alternative DNS name matching localhost",
        "authority, unable to find valid certification path"
    })
    void aCertificateThatIsWrongIsRefusedForWhatItIs(String wrong, String message) throws Exception {
        Certificates authority = new Certificates("a");
        net.run(() -> net.listen("a", wire -> new Echo(MUCH)));
        net.tls(
                "a",
                wrong.equals("expired")
                        ? authority.server("localhost", Instant.now().minusSeconds(60))
                        : authority.server(wrong.equals("name") ? "other" : "localhost"));
        try (SSLSocket socket = secured(wrong.equals("authority") ? new Certificates("b") : authority, "localhost")) {
            assertThatThrownBy(socket::startHandshake)
                    .isInstanceOf(SSLHandshakeException.class)
                    .hasStackTraceContaining(message);
        }
    }

    @Test
    void aPlaceThatListensNoMoreRefusesAndKeepsItsPort() throws Exception {
        InetSocketAddress before = net.address("a");
        assertThatThrownBy(this::dial).isInstanceOf(ConnectException.class);
        for (int i = 0; i < 3; i++) {
            net.run(() -> net.listen("a", wire -> new Echo(MUCH)));
            try (Socket socket = dial()) {
                socket.getOutputStream().write('x');
                assertThat(socket.getInputStream().read()).isEqualTo('x');
                net.run(() -> net.unlisten("a"));
                assertThatThrownBy(this::dial).isInstanceOf(ConnectException.class);
                socket.getOutputStream().write('y');
                assertThat(socket.getInputStream().read()).isEqualTo('y');
            }
        }
        assertThat(net.address("a")).isEqualTo(before);
    }

    @Test
    void connectionsBeyondTheBoundAndThoseResetAreBroken() throws Exception {
        listen(MUCH);
        try (Socket first = dial();
                Socket second = dial();
                Socket third = dial()) {
            third.getOutputStream().write('x');
            assertThat(third.getInputStream().read()).isEqualTo('x');
            assertThatThrownBy(() -> {
                        try (Socket fourth = dial()) {
                            fourth.getInputStream().read();
                        }
                    })
                    .isInstanceOf(SocketException.class);
            net.run(() -> taken.reset());
            assertThatThrownBy(() -> third.getInputStream().read()).isInstanceOf(SocketException.class);
            first.getOutputStream().write('x');
            assertThat(first.getInputStream().read()).isEqualTo('x');
        }
    }

    private CompletableFuture<String> hello() {
        CompletableFuture<String> told = new CompletableFuture<>();
        net.run(() -> net.connect("x", "a", new Party() {
            @Override
            public void opened(Wire wire) {
                wire.write(new byte[] {'h', 'i'});
            }

            @Override
            public void received(Wire wire, byte[] bytes) {
                told.complete(new String(bytes, StandardCharsets.US_ASCII));
            }

            @Override
            public void ended(Wire wire) {}

            @Override
            public void broken(Wire wire) {
                told.complete("broken");
            }
        }));
        return told;
    }

    @Test
    void aPartyConnectsToAPlaceAndIsToldIfNobodyListens() throws Exception {
        net.address("a");
        assertThat(hello().get(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("broken");
        net.run(() -> net.listen("a", wire -> new Echo(MUCH)));
        assertThat(hello().get(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("hi");
        assertThatThrownBy(() -> net.run(() -> net.connect("x", "10.0.0.1:80", new Echo(MUCH))))
                .hasRootCauseInstanceOf(IllegalArgumentException.class);
    }
}
