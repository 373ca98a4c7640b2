package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.util.Arrays;
import slateseam.tier.agreement.Entry;

/** A command about policy versions in the replicated log. */
sealed interface Command {
    /** Proposes a version, which gets its number when the command is applied, by its position in the log. */
    record Propose(Version version) implements Command {}

    /**
     * Commits or aborts a version.
     *
     * @param number the number of the version
     * @param cause why the version was aborted, or was committed without some routers; empty for a commit by all
     * @param before the shares of requests served and refused before the commit, as {@link Version#before()}
     */
    record Decide(int number, boolean committed, String cause, byte[] before) implements Command {}

    /** Ends the time in which a committed version is watched for a fall of the served share. */
    record Settle(int number) implements Command {}

    /** Rejects a proposal before it becomes a version. */
    record Reject(String name, byte[] hash, String cause) implements Command {}

    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(2 * Entry.MOST_BODY);
        if (this instanceof Propose c) {
            out.put((byte) 0);
            c.version.put(out);
        } else if (this instanceof Decide c) {
            out.put((byte) 1).putInt(c.number).put((byte) (c.committed ? 1 : 0));
            Version.put(out, c.cause, Version.MAX_CAUSE_BYTES);
            out.put((byte) c.before.length).put(c.before);
        } else if (this instanceof Settle c) {
            out.put((byte) 2).putInt(c.number);
        } else if (this instanceof Reject c) {
            out.put((byte) 3);
            Version.put(out, c.name, Version.MOST_NAME);
            out.put(c.hash);
            Version.put(out, c.cause, Version.MAX_CAUSE_BYTES);
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    static Command decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        return switch (in.get()) {
            case 0 -> new Propose(Version.get(in));
            case 1 -> new Decide(in.getInt(), in.get() != 0, Version.text(in), Version.bytes(in, in.get()));
            case 2 -> new Settle(in.getInt());
            default -> new Reject(Version.text(in), Version.bytes(in, Version.HASH_BYTES), Version.text(in));
        };
    }
}
