package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import slateseam.standin.Clockwork;

/** The commands that change the cluster. */
final class ClusterCommands {
    private static final int MOST_PODS = 20_000;
    private static final long SECOND = 1_000_000_000;

    private ClusterCommands() {}

    /** Reads a line whose first word was read; null if it is none of these. */
    static Command read(String verb, Words words) {
        return switch (verb) {
            case "service" -> service(words);
            case "pods" -> pods(words);
            case "pod" -> pod(words.next("pod"), words);
            case "slice" -> slice(words);
            case "repack" -> repack(words);
            case "vanish" -> vanish(words.next("service"), true);
            case "appear" -> vanish(words.next("service"), false);
            case "churn" -> churn((int) words.namedNumber("rate", 200, 1, 10_000), words.namedTime("for", "1s"));
            default -> null;
        };
    }

    private static Command on(Consumer<Cluster> action) {
        return server -> action.accept(server.cluster());
    }

    private static Command service(Words words) {
        String name = words.next("service");
        List<Service.Port> ports = new ArrayList<>();
        words.namedPairs("port").forEach((port, number) -> ports.add(new Service.Port(port, portNumber(number))));
        List<String> families = Arrays.asList(words.namedOneOf("families", "ipv4", "ipv4", "ipv6", "ipv4,ipv6")
                .split(","));
        Service service = new Service(
                name,
                ports,
                families.contains("ipv4"),
                families.contains("ipv6"),
                (int) words.namedNumber("per-slice", 100, 1, 1_000),
                words.namedOneOf("hints", "no", "yes", "no").equals("yes"),
                words.namedPairs("label"),
                words.namedPairs("annotation"));
        return on(cluster -> cluster.service(service));
    }

    private static int portNumber(String digits) {
        if (!digits.matches("[0-9]{1,5}") || Integer.parseInt(digits) > 65_535) {
            throw new IllegalArgumentException("port is " + digits + ", no number up to 65535");
        }
        return Integer.parseInt(digits);
    }

    private static Command pods(Words words) {
        String prefix = words.next("prefix");
        int count = (int) words.nextNumber("count", 1, MOST_PODS);
        String service = words.named("service");
        String[] zones = words.named("zones", "zone-a").split(",");
        int nodes = (int) words.namedNumber("nodes", 10, 1, 1_000);
        return on(cluster -> {
            int before = cluster.pods().size();
            for (int i = 0; i < count; i++) {
                int place = before + i + 1;
                cluster.add(
                        service,
                        new Pod(
                                prefix + '-' + (i + 1),
                                "",
                                "10.7." + place / 250 + '.' + (1 + place % 250),
                                "fd00:7::" + Integer.toHexString(place),
                                "node-" + (1 + i % nodes),
                                zones[i % zones.length],
                                true,
                                true,
                                false));
            }
        });
    }

    private static Command pod(String name, Words words) {
        return switch (words.next(
                "what becomes of the pod", "add", "ready", "unready", "terminating", "gone", "restart", "set")) {
            case "add" -> {
                String service = words.named("service");
                Pod pod = new Pod(
                        name,
                        "",
                        words.named("ipv4", null),
                        words.named("ipv6", null),
                        words.named("node", "node-1"),
                        words.named("zone", "zone-a"),
                        true,
                        true,
                        false);
                if (pod.ipv4() == null && pod.ipv6() == null) {
                    throw new IllegalArgumentException("ipv4= and ipv6= lack");
                }
                yield on(cluster -> cluster.add(service, pod));
            }
            case "ready" -> change(name, pod -> pod.conditions(true, true, false));
            case "unready" -> change(name, pod -> pod.conditions(false, false, pod.terminating()));
            case "terminating" -> change(name, pod -> pod.conditions(false, pod.serving(), true));
            case "gone" -> on(cluster -> cluster.remove(name));
            case "restart" -> on(cluster -> cluster.restart(name));
            default -> {
                Boolean ready = condition(words, "ready");
                Boolean serving = condition(words, "serving");
                Boolean terminating = condition(words, "terminating");
                yield change(name, pod -> pod.conditions(ready, serving, terminating));
            }
        };
    }

    private static Command change(String name, UnaryOperator<Pod> how) {
        return on(cluster -> cluster.change(name, how));
    }

    private static Boolean condition(Words words, String name) {
        String word = words.namedOneOf(name, "unset", "yes", "no", "unset");
        return word.equals("unset") ? null : Boolean.valueOf(word.equals("yes"));
    }

    private static Command slice(Words words) {
        String[] place = words.next("slice").split("/", -1);
        if (place.length != 2 || !place[1].matches("[1-9][0-9]{0,4}")) {
            throw new IllegalArgumentException("a slice is named by its service and number, such as caches/2");
        }
        String what = words.next(
                "what becomes of the slice",
                "take",
                "copy",
                "drop",
                "split",
                "recreate",
                "lag",
                "label",
                "annotate",
                "pad");
        BiConsumer<Packing, Integer> action = switch (what) {
            case "take" -> {
                String pod = words.next("pod");
                boolean deletedFirst = deletedFirst(words);
                long apart = words.namedTime("apart", "0ms");
                yield (packing, number) -> packing.move(pod, number, deletedFirst, apart);
            }
            case "copy" -> {
                String pod = words.next("pod");
                yield (packing, number) -> packing.copy(pod, number);
            }
            case "drop" -> {
                String pod = words.next("pod");
                yield (packing, number) -> packing.drop(pod, number);
            }
            case "split" -> Packing::split;
            case "recreate" -> {
                long apart = words.namedTime("apart", "0ms");
                yield (packing, number) -> packing.recreate(number, apart);
            }
            case "lag" -> {
                long time = words.nextTime("lag");
                yield (packing, number) -> packing.lag(number, time);
            }
            case "pad" -> {
                String padding = "x".repeat((int) words.nextNumber("bytes", 1, 8 << 20));
                yield (packing, number) -> packing.annotate(number, "slateseam.test/padding", padding);
            }
            default -> {
                String key = words.named("key");
                String value = words.named("value", null);
                yield (packing, number) -> {
                    if (what.equals("label")) {
                        packing.label(number, key, value);
                    } else {
                        packing.annotate(number, key, value);
                    }
                };
            }
        };
        int number = Integer.parseInt(place[1]);
        return on(cluster -> action.accept(cluster.packing(place[0]), number));
    }

    private static boolean deletedFirst(Words words) {
        return words.namedOneOf("order", "add-first", "add-first", "delete-first")
                .equals("delete-first");
    }

    private static Command repack(Words words) {
        String service = words.next("service");
        int perSlice = (int) words.namedNumber("per-slice", 100, 1, 1_000);
        boolean deletedFirst = deletedFirst(words);
        return on(cluster -> cluster.packing(service).repack(perSlice, deletedFirst));
    }

    private static Command vanish(String service, boolean gone) {
        return on(cluster -> cluster.packing(service).vanish(gone));
    }

    /** Pods in turn become not ready, or ready again. */
    private static Command churn(int rate, long lasts) {
        return on(cluster -> {
            List<Pod> pods = new ArrayList<>(cluster.pods());
            if (pods.isEmpty()) {
                throw new IllegalArgumentException("there is no pod to change");
            }
            Clockwork clock = cluster.clock();
            long changes = lasts * rate / SECOND;
            for (long i = 0; i < changes; i++) {
                String name = pods.get((int) (i % pods.size())).name();
                clock.at(clock.now() + i * SECOND / rate, () -> {
                    if (cluster.has(name)) {
                        cluster.change(
                                name,
                                pod -> Boolean.TRUE.equals(pod.ready())
                                        ? pod.conditions(false, false, pod.terminating())
                                        : pod.conditions(true, true, false));
                    }
                });
            }
        });
    }
}
