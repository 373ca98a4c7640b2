package slateseam.standin.kubernetes;

import java.util.List;
import java.util.Map;

/**
 * A service whose pods are told in slices.
 *
 * @param ports of each slice, in their order
 * @param ipv4 whether there are slices of that family
 * @param ipv6 whether there are slices of that family
 * @param perSlice endpoints in a slice, 1 to 1,000; the API's usual number is 100
 * @param hints whether each endpoint is meant for its own zone
 * @param labels passed on to its slices
 * @param annotations passed on to its slices
 */
public record Service(
        String name,
        List<Port> ports,
        boolean ipv4,
        boolean ipv6,
        int perSlice,
        boolean hints,
        Map<String, String> labels,
        Map<String, String> annotations) {

    /** A port of a service: its name, which may be empty, and its number. */
    public record Port(String name, int number) {}

    /** Checks the figures. */
    public Service {
        if (perSlice < 1 || perSlice > 1_000) {
            throw new IllegalArgumentException("per-slice is " + perSlice + ", not from 1 to 1000");
        }
        if (!ipv4 && !ipv6) {
            throw new IllegalArgumentException("service " + name + " has no family of addresses");
        }
    }
}
