package slateseam.router.kubernetes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.Features;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Server;
import slateseam.router.net.BackgroundExecutor;
import slateseam.router.net.Clock;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

/** A farm that follows an API on a loop of its own, whose rounds the test makes. Its clock can be set forward. */
final class Followed {
    /** A guard against waiting for ever; nothing depends on how long something takes. */
    private static final long MOST_NANOS = 30_000 * Clock.MILLI;

    final List<String> log = new ArrayList<>();
    final List<MembersChanged> told = new ArrayList<>();
    final Loop loop;
    final KubernetesFarm source;
    private final Clock system = Clock.system();
    private long skipped;

    Followed(KubernetesSettings settings) throws Exception {
        Clock clock = () -> system.nanos() + skipped;
        loop = new Loop(clock, new Log("n", clock, log::add));
        NodeConfig config = config();
        source = new KubernetesFarm(
                loop,
                new BackgroundExecutor(),
                settings,
                new Farm(config.zones(), config.kinds(), config.settings().originKind()),
                7,
                told::add);
    }

    private static NodeConfig config() throws Exception {
        return NodeConfig.parse(Files.readString(Path.of("examples/config.json")));
    }

    /** The settings for an API, with what else a settings file tells. */
    static KubernetesSettings settings(Path dir, String url, String... more) throws Exception {
        List<String> lines = new ArrayList<>(List.of(
                "kubernetes_api " + url,
                "kubernetes_namespace shop",
                "kubernetes_service caches",
                "kubernetes_port resp",
                "kubernetes_origin 127.0.0.1:1",
                "kubernetes_page 2"));
        lines.addAll(List.of(more));
        return settings(Files.write(dir.resolve("s.conf"), lines));
    }

    /** The settings of a file. */
    static KubernetesSettings settings(Path file) throws Exception {
        return Features.read(file, config()).kubernetes();
    }

    Followed begin() {
        source.begin();
        return this;
    }

    Followed restore(Remembered remembered) {
        source.restore(remembered);
        told.add(source.known());
        return this;
    }

    void skip(long nanos) throws IOException {
        skipped += nanos;
        loop.round(0);
    }

    void rounds(BooleanSupplier until) throws IOException {
        long start = System.nanoTime();
        while (!until.getAsBoolean()) {
            loop.round(5 * Clock.MILLI);
            if (System.nanoTime() - start > MOST_NANOS) {
                throw new AssertionError("it has not come to that: " + servers() + "\n" + String.join("\n", log));
            }
        }
    }

    boolean logged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    /** A line for each application server: its pod's uid and whether it is ready. */
    List<String> servers() {
        TreeSet<String> lines = new TreeSet<>();
        for (Server server : source.servers()) {
            if (!server.origin()) {
                lines.add(server.pod() + " " + server.address() + " " + server.ready());
            }
        }
        return new ArrayList<>(lines);
    }

    /** The same of what a stand-in says is true; the address is of its first family. */
    static List<String> servers(List<String> truth) {
        TreeSet<String> lines = new TreeSet<>();
        for (String line : truth) {
            String[] words = line.split(" ");
            boolean ready = !line.contains("ready=false")
                    && !line.contains("serving=false")
                    && !line.contains("terminating=true");
            if (words[1].indexOf(':') < 0) {
                lines.add(words[2] + " " + words[1] + " " + ready);
            }
        }
        return new ArrayList<>(lines);
    }
}
