package slateseam.tier.policy;

import java.util.Set;

/** Who takes the version that is open, and the first who does not, as far as it has come here. */
final class Verdicts {
    private int number;
    private final AcceptedRouters accepted = new AcceptedRouters();
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
        accepted.add(router);
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
            accepted.addAll(poll.accepted());
            if (poll.refuser() >= 0) {
                refuse(poll.refuser(), poll.why());
            }
        }
    }

    /** What the next message tells of those who take it. */
    byte[] bytes() {
        return accepted.encode();
    }

    int refuser() {
        return refuser;
    }

    String why() {
        return why;
    }

    boolean has(int router) {
        return accepted.contains(router);
    }

    boolean hasAll(Set<Integer> routers) {
        return routers.stream().allMatch(accepted::contains);
    }
}
