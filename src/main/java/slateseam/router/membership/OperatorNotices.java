package slateseam.router.membership;

import java.util.ArrayList;
import java.util.List;

/** What the operators should read, until it is fetched. */
final class OperatorNotices {
    private static final int MOST = 16;

    private List<OperatorNotice> notes = new ArrayList<>();

    /** Adds one; beyond the most it is dropped. */
    void add(String kind, String text) {
        if (notes.size() < MOST) {
            notes.add(new OperatorNotice(kind, text));
        }
    }

    List<OperatorNotice> take() {
        List<OperatorNotice> taken = notes;
        notes = new ArrayList<>();
        return taken;
    }
}
