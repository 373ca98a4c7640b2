package slateseam.standin.kubernetes;

import java.util.List;

/**
 * A pod as slices tell of it. A condition that is null is not told.
 *
 * @param name the same over restarts
 * @param uid new at each restart
 * @param ipv4 its address, or null
 * @param ipv6 its address, or null
 */
public record Pod(
        String name,
        String uid,
        String ipv4,
        String ipv6,
        String node,
        String zone,
        Boolean ready,
        Boolean serving,
        Boolean terminating) {

    /** The same with other conditions, each true, false or null for one that is not told. */
    public Pod conditions(Boolean isReady, Boolean isServing, Boolean isTerminating) {
        return new Pod(name, uid, ipv4, ipv6, node, zone, isReady, isServing, isTerminating);
    }

    /** The same pod made anew, as one with a fixed name and address is. */
    public Pod renewed(String otherUid) {
        return new Pod(name, otherUid, ipv4, ipv6, node, zone, ready, serving, terminating);
    }

    /** Its address of a family; null if it has none. */
    public String address(boolean v6) {
        return v6 ? ipv6 : ipv4;
    }

    /** What a slice of a family tells of it, in a form that is compared as text. */
    public String line(String slice, boolean v6) {
        return line(slice, List.of(address(v6)), name, uid, node, zone, ready, serving, terminating);
    }

    /** The same of parts, as a witness has read them. */
    public static String line(
            String slice,
            List<String> addresses,
            String name,
            String uid,
            String node,
            String zone,
            Boolean ready,
            Boolean serving,
            Boolean terminating) {
        return slice + ' ' + String.join("+", addresses) + ' ' + name + ' ' + uid + ' ' + node + ' ' + zone + " ready="
                + ready + " serving=" + serving + " terminating=" + terminating;
    }
}
