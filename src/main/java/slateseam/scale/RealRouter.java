package slateseam.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.trial.RouterChild;
import slateseam.trial.RunLine;

/** A router as it is deployed, in a process of its own. */
final class RealRouter {
    /** What of control is on in its next life. */
    enum Mode {
        /** Members, policy and the ring. */
        ALL,
        /** The ring, as without a settings file that turns more on. */
        RING,
        /** It talks to no other router. */
        ALONE
    }

    /** Where it is reached. */
    record Addresses(
            InetSocketAddress listen,
            InetSocketAddress control,
            InetSocketAddress datagrams,
            InetSocketAddress discovery) {}

    /**
     * How it is started.
     *
     * @param root the folder in which the line is run
     * @param line the line that starts it
     */
    record Launch(Path root, String line) {}

    private final int number;
    private final Addresses addresses;
    private final List<InetSocketAddress> peers;
    private final RouterTexts texts;
    private final Path folder;
    private final Launch launch;
    private final BiConsumer<String, String> said;
    private RouterChild child;

    /**
     * Prepares it.
     *
     * @param peers where it reaches the others, by number, and where it listens itself
     * @param launch how it is started
     * @param said is told each line of its log
     */
    RealRouter(
            int number,
            Addresses addresses,
            List<InetSocketAddress> peers,
            RouterTexts texts,
            Path folder,
            Launch launch,
            BiConsumer<String, String> said) {
        this.number = number;
        this.addresses = addresses;
        this.peers = peers;
        this.texts = texts;
        this.folder = folder;
        this.launch = launch;
        this.said = said;
    }

    int number() {
        return number;
    }

    String name() {
        return RouterTexts.name(number);
    }

    RouterChild child() {
        return child;
    }

    /** Starts a process; the one before must have ended. */
    void start(Mode mode, JSONObject known) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name()));
        JSONObject config = texts.config(number, mode != Mode.ALONE, known)
                .put("listen", Places.text(addresses.listen()))
                .put("control", Places.text(addresses.control()))
                .put("discovery", Places.text(addresses.discovery()));
        if (mode != Mode.ALONE) {
            config.put("peer_listen", Places.text(addresses.datagrams()))
                    .put("peers", new JSONArray(peers.stream().map(Places::text).toList()));
        }
        Path file = Files.writeString(own.resolve("config.json"), config.toString());
        String line = mode == Mode.ALL
                ? RunLine.withFeatures(
                        launch.line(), texts.features(proposal().toString()), launch.root(), own.resolve("features"))
                : launch.line();
        Map<String, String> environment =
                new HashMap<>(Map.of("NODE_CONFIG", file.toString(), "NODE_NAME", name(), "TMPDIR", own.toString()));
        child = new RouterChild(name(), line, launch.root(), environment, folder.resolve(name() + ".log"), said);
    }

    private Path proposal() {
        return folder.resolve(name()).resolve("proposal.json");
    }

    /** Proposes a change of policy here. */
    void propose(String name, String document) throws IOException {
        Path next = Files.writeString(
                proposal().resolveSibling("proposal.next"),
                new JSONObject()
                        .put("name", name)
                        .put("document", document)
                        .put("watch_s", 1)
                        .put("points", 100)
                        .toString());
        Files.move(next, proposal(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        ask("POST", "/policy/propose");
    }

    /** Calls it at its second address; what it answered. */
    String ask(String method, String path) throws IOException {
        return ControlCall.ask(Places.text(addresses.control()), method, path);
    }
}
