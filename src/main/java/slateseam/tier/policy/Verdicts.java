package slateseam.tier.policy;

import java.util.BitSet;
import java.util.Set;

/** Who takes the version that is open, and the first who does not, as far as it has come here. */
final class Verdicts {
    private static final int MOST_BYTES = 128;
    private int number;
    private final BitSet accepted = new BitSet();
    private int refuser = -1;
    private String why = "";

    /** Of which version they are; 0 for none. */
    int number() {
        return number;
    }

    /** Begins for another version. */
    void begin(int version) {
        number = version;
        accepted.clear();
        refuser = -1;
        why = "";
    }

    void accept(int router) {
        accepted.set(router);
    }

    void refuse(int router, String cause) {
        if (refuser < 0) {
            refuser = router;
            why = cause;
        }
    }

    /** What another says, if it is of the same version. */
    void take(PolicyMessage.Poll poll) {
        if (poll.open() == number && number != 0) {
            accepted.or(BitSet.valueOf(poll.accepted()));
            if (poll.refuser() >= 0) {
                refuse(poll.refuser(), poll.why());
            }
        }
    }

    byte[] bytes() {
        byte[] bytes = accepted.toByteArray();
        return bytes.length <= MOST_BYTES ? bytes : java.util.Arrays.copyOf(bytes, MOST_BYTES);
    }

    int refuser() {
        return refuser;
    }

    String why() {
        return why;
    }

    boolean has(int router) {
        return accepted.get(router);
    }

    boolean hasAll(Set<Integer> routers) {
        return routers.stream().allMatch(accepted::get);
    }
}
