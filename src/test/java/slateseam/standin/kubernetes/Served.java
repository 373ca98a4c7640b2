package slateseam.standin.kubernetes;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import slateseam.standin.Witness;
import slateseam.standin.World;
import slateseam.standin.sockets.SocketNet;

/** A stand-in API server of the namespace {@code shop} on a real port of loopback. */
public final class Served implements AutoCloseable {
    private static final String PLACE = "api";

    /** Where it runs. */
    public final SocketNet net;
    /** The server; to be used on the net's thread only. */
    public final ApiServer server;

    private final boolean tls;

    /** Serves it, with TLS unless the context is null. */
    public Served(SSLContext context) throws IOException {
        net = new SocketNet(64);
        tls = context != null;
        net.tls(PLACE, context);
        server = net.call(() -> new ApiServer(
                PLACE, ApiFigures.USUAL, new World(net, net, new Witness() {}), new Cluster("shop", net, 1_000)));
    }

    /** Its address. */
    public String url() {
        return (tls ? "https" : "http") + "://127.0.0.1:" + net.address(PLACE).getPort();
    }

    /** A script of the tests' resources. */
    public static Script script(String name) throws IOException, InvalidScriptException {
        try (InputStream file = Served.class.getResourceAsStream("/kubernetes/" + name + ".script")) {
            return Script.read(new String(file.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Plays a script from now on; the latch opens with its last line. */
    public CountDownLatch play(Script script) {
        CountDownLatch over = new CountDownLatch(1);
        net.run(() -> script.play(server, over::countDown));
        return over;
    }

    /** Carries commands out at once, one after another, on what there is. */
    public void command(String... commands) {
        net.run(() -> {
            for (String command : commands) {
                Words words = new Words(command);
                String verb = words.next("command");
                Command read = ClusterCommands.read(verb, words);
                (read == null ? ApiCommands.read(verb, words) : read).run(server);
            }
        });
    }

    /** Waits for a script's end. */
    public static void await(CountDownLatch over) throws InterruptedException {
        if (!over.await(30, TimeUnit.SECONDS)) {
            throw new AssertionError("the script has not ended");
        }
    }

    /** What is true of a service now. */
    public List<String> truth(String service) {
        return net.call(() -> server.cluster().truth(service));
    }

    @Override
    public void close() {
        net.close();
    }
}
