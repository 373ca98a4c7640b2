package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.List;
import slateseam.tier.agreement.DurableState;
import slateseam.tier.agreement.Voter;

/** What one who votes has on its disk, on the virtual clock: changes in their order, of which a power cut leaves those that were forced. */
final class VirtualMemory {
    private final List<DurableState.Change> written = new ArrayList<>();
    private int lasting;
    private boolean damaged;
    /** Forces say that they are done and are not. */
    boolean lies;
    /** How long a force takes. */
    long forceNanos = 2_000_000L;

    void write(DurableState.Change change) {
        written.add(change);
    }

    /** So many changes were forced. */
    void force(int number) {
        lasting = lies ? lasting : Math.max(lasting, Math.min(number, written.size()));
    }

    int size() {
        return written.size();
    }

    /** The power is cut: what was not forced is gone. */
    void cut() {
        written.subList(lasting, written.size()).clear();
        lies = false;
        forceNanos = 2_000_000L;
    }

    /** It is back at an older content, whole. */
    void rollBack(int changes) {
        lasting = Math.max(0, Math.min(lasting, written.size()) - changes);
        cut();
    }

    /** A bit is another. */
    void flip() {
        damaged = true;
    }

    /** It is emptied. */
    void empty() {
        written.clear();
        lasting = 0;
        damaged = false;
    }

    /** What a start reads; null for nothing that can be trusted. */
    DurableState read() {
        if (damaged || written.isEmpty()) {
            empty();
            return null;
        }
        DurableState stable = new DurableState();
        written.forEach(stable::apply);
        return stable.seat() == null ? null : stable;
    }

    /** Begins anew as another seat. */
    DurableState begin(Voter seat) {
        empty();
        DurableState stable = new DurableState();
        stable.apply(new DurableState.Begin(0, seat));
        write(new DurableState.Begin(0, seat));
        force(1);
        return stable;
    }
}
