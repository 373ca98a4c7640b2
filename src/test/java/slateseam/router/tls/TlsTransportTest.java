package slateseam.router.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.router.net.BackgroundExecutor;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.standin.sockets.Certificates;

@Timeout(60)
class TlsTransportTest {
    /** What the other side does, on a thread of its own. */
    private interface Peer {
        void talk(SSLSocket socket) throws IOException;
    }

    /** Keeps what comes; it reads nothing while it is paused. */
    private static final class Client extends Connection {
        final TlsTransport tls;
        final ByteBuffer come = ByteBuffer.allocate(1024 * 1024);
        boolean up;
        boolean gone;
        int longest;

        Client(Loop loop, InetSocketAddress to, TlsTransport tls) throws IOException {
            super(loop, to, tls);
            this.tls = tls;
        }

        @Override
        protected void connected() {
            up = true;
        }

        @Override
        protected void received(ByteBuffer in) {
            longest = Math.max(longest, in.remaining());
            come.put(in);
        }

        @Override
        protected void malformed(MalformedException e) {
            throw new AssertionError(e);
        }

        @Override
        protected void broken() {
            gone = true;
        }

        void say(byte[] bytes) {
            write(ByteBuffer.wrap(bytes));
        }

        void stop(boolean stop) {
            pause(stop);
        }
    }

    @TempDir
    Path dir;

    private Certificates authority;
    private Loop loop;
    private ServerSocket listener;
    private Thread thread;
    private Executor aside = new BackgroundExecutor();

    @BeforeEach
    void begin() throws Exception {
        authority = new Certificates("ours");
        loop = new Loop(Clock.system(), new Log("n", Clock.system(), text -> {}));
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void end() throws Exception {
        listener.close();
        if (thread != null) {
            thread.join();
        }
    }

    private interface Plain {
        void talk(Socket socket) throws IOException;
    }

    private void plain(Plain peer) {
        thread = new Thread(() -> {
            try (Socket socket = listener.accept()) {
                peer.talk(socket);
            } catch (IOException e) {
                // The test looks at the other side.
            }
        });
        thread.start();
    }

    private void serve(SSLContext context, String protocol, Peer peer) {
        plain(socket -> {
            try (SSLSocket tls = (SSLSocket) context.getSocketFactory().createSocket(socket, null, true)) {
                tls.setEnabledProtocols(new String[] {protocol});
                peer.talk(tls);
            }
        });
    }

    private Client connect(String host) throws Exception {
        Trust trust = Trust.read(Files.writeString(dir.resolve("ca.pem"), authority.pem()));
        InetSocketAddress to = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        return new Client(loop, to, trust.connect(loop, aside, host, to.getPort()));
    }

    private void rounds(BooleanSupplier until) throws IOException {
        while (!until.getAsBoolean()) {
            loop.round(10 * Clock.MILLI);
        }
    }

    private String refusal(String host) throws Exception {
        Client client = connect(host);
        rounds(() -> client.gone);
        assertThat(client.up).isFalse();
        return client.tls.trouble();
    }

    @ParameterizedTest
    @ValueSource(strings = {"TLSv1.3", "TLSv1.2"})
    void bytesPassBothWaysAndTheEndIsTold(String protocol) throws Exception {
        byte[] sent = new byte[500_000];
        new Random(1).nextBytes(sent);
        serve(authority.server("127.0.0.1"), protocol, socket -> {
            socket.getOutputStream().write(socket.getInputStream().readNBytes(sent.length));
            socket.shutdownOutput();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        });
        Client client = connect("127.0.0.1");
        rounds(() -> client.up);
        client.say(sent);
        // Paused, it takes nothing, however much the transport holds; then all comes, though the channel is empty.
        rounds(() -> client.come.position() > 0);
        client.stop(true);
        int held = client.come.position();
        for (int i = 0; i < 20; i++) {
            loop.round(Clock.MILLI);
        }
        assertThat(client.come.position()).isEqualTo(held);
        client.stop(false);
        rounds(() -> client.gone);
        assertThat(Arrays.copyOf(client.come.array(), client.come.position())).isEqualTo(sent);
        assertThat(client.longest).as("one look takes so much at most").isLessThanOrEqualTo(16_384);
        assertThat(client.tls.trouble()).isNull();
    }

    @Test
    void aNameIsCheckedAsAnAddressIs() throws Exception {
        serve(
                authority.server("localhost"),
                "TLSv1.3",
                socket -> socket.getOutputStream().write(1));
        Client client = connect("localhost");
        rounds(() -> client.come.position() > 0);
    }

    @Test
    void whatIsWrongWithACertificateIsTold() throws Exception {
        Instant inAnHour = Instant.now().plusSeconds(3_600);
        serve(authority.server("127.0.0.1", Instant.now().minusSeconds(60)), "TLSv1.3", SSLSocket::startHandshake);
        assertThat(refusal("127.0.0.1")).contains("has expired");
        serve(authority.server("127.0.0.1", inAnHour, inAnHour.plusSeconds(60)), "TLSv1.2", SSLSocket::startHandshake);
        assertThat(refusal("127.0.0.1")).contains("not valid yet");
        serve(authority.server("127.0.0.2"), "TLSv1.3", SSLSocket::startHandshake);
        assertThat(refusal("127.0.0.1")).contains("of another name", "127.0.0.1");
        serve(authority.server("else.example"), "TLSv1.3", SSLSocket::startHandshake);
        assertThat(refusal("api.example")).contains("of another name", "api.example");
        serve(new Certificates("theirs").server("127.0.0.1"), "TLSv1.3", SSLSocket::startHandshake);
        assertThat(refusal("127.0.0.1")).contains("unknown authority");
    }

    @Test
    void whatSpeaksNoTlsOrStopsInTheMiddleIsTold() throws Exception {
        plain(socket -> socket.getOutputStream().write("HTTP/1.1 400 Bad Request\r\n\r\n".getBytes()));
        assertThat(refusal("127.0.0.1")).isEqualTo("it speaks no TLS");
        plain(socket -> socket.getInputStream().read());
        assertThat(refusal("127.0.0.1")).containsAnyOf("within the handshake", "reset");
    }

    @Test
    void aCutIsToldFromAnEnd() throws Exception {
        plain(socket -> {
            SSLContext context = authority.server("127.0.0.1");
            SSLSocket tls = (SSLSocket) context.getSocketFactory().createSocket(socket, null, false);
            tls.getOutputStream().write(1);
            socket.shutdownOutput();
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                in.skip(1_000);
            }
        });
        Client client = connect("127.0.0.1");
        rounds(() -> client.gone);
        assertThat(client.come.position()).isEqualTo(1);
        assertThat(client.tls.trouble()).contains("cut off");
    }

    @Test
    void aRenegotiationIsRefusedAndNewKeysAreNot() throws Exception {
        serve(authority.server("127.0.0.1"), "TLSv1.2", socket -> {
            socket.getOutputStream().write(1);
            socket.startHandshake();
            socket.getInputStream().read();
        });
        Client client = connect("127.0.0.1");
        rounds(() -> client.gone);
        assertThat(client.tls.trouble()).contains("renegotiation");
        serve(authority.server("127.0.0.1"), "TLSv1.3", socket -> {
            socket.getOutputStream().write(1);
            socket.startHandshake(); // which in TLS 1.3 changes the keys
            socket.getOutputStream().write(socket.getInputStream().read());
        });
        Client next = connect("127.0.0.1");
        rounds(() -> next.up);
        next.say(new byte[] {7});
        rounds(() -> next.gone);
        assertThat(Arrays.copyOf(next.come.array(), next.come.position())).containsExactly(1, 7);
    }

    @Test
    void aCertificateIsCheckedAsideAndNotOnTheLoop() throws Exception {
        Thread here = Thread.currentThread();
        Executor errands = aside;
        int[] done = new int[1];
        aside = errand -> errands.execute(() -> {
            assertThat(Thread.currentThread()).isNotSameAs(here);
            done[0]++;
            errand.run();
        });
        serve(
                authority.server("127.0.0.1"),
                "TLSv1.3",
                socket -> socket.getOutputStream().write(1));
        Client client = connect("127.0.0.1");
        rounds(() -> client.come.position() > 0);
        assertThat(done[0]).isPositive();
    }

    @Test
    void aFileWithoutAuthoritiesIsRefused() throws Exception {
        assertThatThrownBy(() -> Trust.read(dir.resolve("none")))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("there is no file");
        assertThatThrownBy(() -> Trust.read(dir)).isInstanceOf(RefusedException.class);
        Path file = Files.writeString(dir.resolve("empty"), "# nothing\n");
        assertThatThrownBy(() -> Trust.read(file))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("empty");
        Files.writeString(file, "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n");
        assertThatThrownBy(() -> Trust.read(file)).hasMessageContaining("something else than certificates");
    }
}
