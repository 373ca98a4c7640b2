package slateseam.simulate;

import java.util.List;
import slateseam.standin.Witness;

/** Several witnesses, told in their order. */
record Witnesses(List<Witness> all) implements Witness {
    Witnesses {
        all = List.copyOf(all);
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        all.forEach(witness -> witness.ran(server, id, key, write, idempotencyKey));
    }

    @Override
    public void dropped(String server, String id, String idempotencyKey) {
        all.forEach(witness -> witness.dropped(server, id, idempotencyKey));
    }

    @Override
    public void made(String server, String id, byte[] value) {
        all.forEach(witness -> witness.made(server, id, value));
    }

    @Override
    public void load(String server, double work, double capacity) {
        all.forEach(witness -> witness.load(server, work, capacity));
    }

    @Override
    public void fell(String server) {
        all.forEach(witness -> witness.fell(server));
    }
}
