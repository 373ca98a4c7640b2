package slateseam.router.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A membership with a clock moved by hand, and short ways to tell it something. */
final class Told {
    static final long MS = 1_000_000L;
    static final long START = 1_700_000_000_000L * MS;
    final Membership membership;
    long now = START;

    Told(MembershipSettings settings) {
        membership = new Membership(settings);
    }

    Told() {
        this(MembershipSettings.USUAL);
    }

    static MembershipSettings bounds(int slices, int servers, int deleted, int text) {
        MembershipSettings u = MembershipSettings.USUAL;
        return new MembershipSettings(
                u.origin(),
                u.preferIpv6(),
                u.comparable(),
                u.places(),
                u.keys(),
                u.guard(),
                new MembershipSettings.Bounds(slices, servers, deleted, text));
    }

    /** An endpoint by its pod's number, ready, or as its ending says: - not ready, x terminating. */
    static Endpoint endpoint(String pod) {
        String name = pod.replaceAll("[-x]$", "");
        int number = Integer.parseInt(name);
        return new Endpoint(
                List.of("10.0." + number / 256 + "." + number % 256),
                !pod.endsWith("-") && !pod.endsWith("x"),
                null,
                pod.endsWith("x") ? true : null,
                "zone-a",
                "node",
                List.of(),
                "uid-" + name,
                "pod-" + name);
    }

    static List<Endpoint> endpoints(String pods) {
        List<Endpoint> all = new ArrayList<>();
        for (String pod : pods.isEmpty() ? new String[0] : pods.split(" ")) {
            all.add(endpoint(pod));
        }
        return all;
    }

    static String row(int from, int to) {
        return java.util.stream.IntStream.range(from, to)
                .mapToObj(Integer::toString)
                .collect(Collectors.joining(" "));
    }

    static Slice slice(String name, long version, String pods) {
        return new Slice(name, "of-" + name, version, false, 6379, endpoints(pods), Map.of(), Map.of());
    }

    Told listed(long version, Slice... slices) {
        membership.listed(List.of(slices), Long.toString(version), now);
        return this;
    }

    Told changed(String name, long version, String pods) {
        membership.changed(slice(name, version, pods), now);
        return this;
    }

    Told deleted(String name, long version) {
        membership.deleted(name, "of-" + name, version, now);
        return this;
    }

    Told after(long millis) {
        now += millis * MS;
        membership.servers(now); // as whoever follows nextChange() does
        return this;
    }

    List<Server> servers() {
        return membership.servers(now);
    }

    Server server(int pod) {
        return servers().stream()
                .filter(s -> s.name().endsWith("uid-" + pod))
                .findFirst()
                .orElse(null);
    }

    /** All pods, those that drain with an x, in the order of their numbers. */
    String pods() {
        return servers().stream()
                .filter(s -> !s.origin())
                .sorted((a, b) -> Integer.compare(number(a), number(b)))
                .map(s -> number(s) + (s.ready() ? "" : "x"))
                .collect(Collectors.joining(" "));
    }

    long ready() {
        return servers().stream().filter(Server::ready).count();
    }

    private static int number(Server server) {
        return Integer.parseInt(server.name().replaceAll(".*uid-", ""));
    }
}
