package slateseam.simulate;

import slateseam.standin.Witness;

/** A running hash of what is no byte on a wire: logs, faults, and what the stand-ins ran. */
final class Ledger implements Witness {
    private static final long PRIME = 0x100000001b3L;

    private long hash = 0xcbf29ce484222325L;

    void add(String text) {
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        hash = (hash ^ 0x1f) * PRIME;
    }

    void add(long number) {
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            hash = (hash ^ number >>> shift & 0xff) * PRIME;
        }
    }

    long value() {
        return hash;
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        add(server);
        add(id);
    }

    @Override
    public void dropped(String server, String id, String idempotencyKey) {
        add(id);
    }

    @Override
    public void fell(String server) {
        add(server);
    }
}
