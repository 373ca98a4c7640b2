package slateseam.router.membership;

import java.util.List;
import java.util.Map;

/**
 * One EndpointSlice as the API told it; parsed, and bounded by whoever parses it.
 *
 * @param name {@code metadata.name}, unique among the slices that are handed in
 * @param uid {@code metadata.uid}: another one for a slice that was deleted and made anew under its name; not empty
 * @param version {@code metadata.resourceVersion} as a number, at least 0; a text that is no number is for the parser
 *     to refuse
 * @param ipv6 whether {@code addressType} is IPv6, else it is IPv4; other types are for the parser to refuse
 * @param port the number of the port whose name the settings chose; null if the slice has no such port, so that none of
 *     its endpoints can be reached
 * @param endpoints in the order of the slice
 * @param labels may be empty
 * @param annotations may be empty
 */
public record Slice(
        String name,
        String uid,
        long version,
        boolean ipv6,
        Integer port,
        List<Endpoint> endpoints,
        Map<String, String> labels,
        Map<String, String> annotations) {
    /** Copies what could change, so that a slice never does. */
    public Slice {
        endpoints = List.copyOf(endpoints);
        labels = Map.copyOf(labels);
        annotations = Map.copyOf(annotations);
    }
}
