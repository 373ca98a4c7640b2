package slateseam.router.membership;

import java.util.List;

/**
 * One endpoint of a slice; what the API did not tell is null. What its conditions come to:
 *
 * <table>
 * <caption>States by conditions; the first row that fits holds.</caption>
 * <tr><th>terminating</th><th>ready</th><th>serving</th><th>state</th><th>why</th></tr>
 * <tr><td>true</td><td>any</td><td>any</td><td>draining</td><td>it leaves, even where the service publishes endpoints
 *     that are not ready and so leaves {@code ready} true</td></tr>
 * <tr><td>false, unset</td><td>false</td><td>any</td><td>draining</td><td>it starts, or fails its check</td></tr>
 * <tr><td>false, unset</td><td>true, unset</td><td>false</td><td>draining</td><td>it fails its check, and the service
 *     publishes it all the same</td></tr>
 * <tr><td>false, unset</td><td>true, unset</td><td>true, unset</td><td>ready</td><td>unset means ready, and unset
 *     {@code serving} means what {@code ready} means</td></tr>
 * <tr><td colspan="3">in no slice</td><td>gone</td><td></td></tr>
 * </table>
 *
 * @param addresses literal addresses of the slice's family; only the first is used, as the API gives the others no
 *     meaning
 * @param ready whether it takes new requests
 * @param serving whether it passes its check, no matter if it leaves
 * @param terminating whether it leaves
 * @param zone the zone that it runs in
 * @param nodeName the node that it runs on
 * @param hintZones the zones that are to use it; empty if none are named
 * @param targetUid the uid of the pod behind it: its identity
 * @param targetName the name of the pod behind it, for those who read
 */
public record Endpoint(
        List<String> addresses,
        Boolean ready,
        Boolean serving,
        Boolean terminating,
        String zone,
        String nodeName,
        List<String> hintZones,
        String targetUid,
        String targetName) {
    /** Copies what could change, so that an endpoint never does. */
    public Endpoint {
        addresses = List.copyOf(addresses);
        hintZones = List.copyOf(hintZones);
    }

    /** Whether it is ready; else it is draining and gets nothing new. */
    public boolean takesNew() {
        return !Boolean.TRUE.equals(terminating) && !Boolean.FALSE.equals(ready) && !Boolean.FALSE.equals(serving);
    }
}
