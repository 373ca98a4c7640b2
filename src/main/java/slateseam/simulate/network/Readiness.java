package slateseam.simulate.network;

/** What a channel is ready for, as bits of selection keys, and whom that concerns. */
final class Readiness {
    private int operations;
    private VirtualKey key;

    int operations() {
        return operations;
    }

    void registered(VirtualKey by) {
        key = by;
    }

    void set(int bits, boolean on) {
        operations = on ? operations | bits : operations & ~bits;
        if (on && key != null) {
            key.changed();
        }
    }
}
