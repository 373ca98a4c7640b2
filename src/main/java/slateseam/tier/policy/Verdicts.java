package slateseam.tier.policy;

import java.util.Set;

/** The routers that accept the open version and the first one that refuses it, as far as this router knows. */
final class Verdicts {
    private int number;
    private final AcceptedRouters accepted = new AcceptedRouters();
    private int refuser = -1;
    private String why = "";

    /** Returns the number of the version that the verdicts are about; 0 for none. */
    int number() {
        return number;
    }

    /** Discards all verdicts and starts to collect the verdicts on another version. */
    void begin(int version) {
        number = version;
        accepted.clear();
        refuser = -1;
        why = "";
    }

    void accept(int router) {
        accepted.add(router);
    }

    /** Records a refusal; only the first one is kept. */
    void refuse(int router, String cause) {
        if (refuser < 0) {
            refuser = router;
            why = cause;
        }
    }

    /** Adds the verdicts that another router reports, if they are about the same version. */
    void addFrom(PolicyMessage.Poll poll) {
        if (poll.open() == number && number != 0) {
            accepted.addAll(poll.accepted());
            if (poll.refuser() >= 0) {
                refuse(poll.refuser(), poll.why());
            }
        }
    }

    /** Returns the accepting routers as encoded in the next message. */
    byte[] encodeAccepted() {
        return accepted.encode();
    }

    int refuser() {
        return refuser;
    }

    String why() {
        return why;
    }

    boolean hasAccepted(int router) {
        return accepted.contains(router);
    }

    boolean haveAllAccepted(Set<Integer> routers) {
        return routers.stream().allMatch(accepted::contains);
    }
}
