package slateseam.tier.policy;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versions and rejected proposals: the state machine of the replicated log. Its state is the same at all routers
 * that have applied the same number of commands.
 */
public final class Versions {
    /** Maximum number of versions that are kept. */
    public static final int MAX_VERSIONS = 200;

    /** Maximum number of rejected proposals that are kept. */
    private static final int MAX_REJECTED = 40;

    private static final byte FORMAT = 1;

    /** A rejected proposal: the hash of its document and the cause. */
    private record Rejected(byte[] hash, String cause) {}

    /** Number of commands applied; a state with a higher revision is newer. */
    private long revision;

    private final List<Version> all = new ArrayList<>();
    private final Map<String, Rejected> rejected = new LinkedHashMap<>();

    long revision() {
        return revision;
    }

    /** Returns all versions that are kept, oldest first. */
    public List<Version> all() {
        return List.copyOf(all);
    }

    /** Returns a version by its number; null if it is not kept. */
    public Version find(int number) {
        return all.stream().filter(one -> one.number() == number).findFirst().orElse(null);
    }

    /** Returns the last version that was proposed by a name; null if there is none. */
    public Version find(String name) {
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).name().equals(name)) {
                return all.get(i);
            }
        }
        return null;
    }

    /** Returns why a proposal was rejected; null if it was not. */
    public String rejected(String name, byte[] hash) {
        Rejected one = rejected.get(name);
        return one == null || !Arrays.equals(one.hash, hash) ? null : one.cause;
    }

    /** Returns the version that is proposed and not decided on yet; null if there is none. */
    public Version open() {
        Version last = all.isEmpty() ? null : all.get(all.size() - 1);
        return last != null && last.state() == Version.State.PROPOSED ? last : null;
    }

    /** Returns the newest version that was committed; null if there is none. */
    public Version newest() {
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).wasCommitted()) {
                return all.get(i);
            }
        }
        return null;
    }

    /** Returns the last committed version before the given one; null if there is none. */
    Version before(Version version) {
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).wasCommitted() && all.get(i).number() < version.number()) {
                return all.get(i);
            }
        }
        return null;
    }

    /**
     * Applies a command of the log. This is deterministic: the same commands in the same order give the same state.
     */
    void apply(byte[] bytes) {
        Command command = Command.decode(bytes);
        revision++;
        if (command instanceof Command.Propose c) {
            propose(c.version());
        } else if (command instanceof Command.Decide c) {
            Version open = open();
            if (open != null && open.number() == c.number()) {
                decide(open, c);
            }
        } else if (command instanceof Command.Settle c) {
            replace(c.number(), Version.State.COMMITTED, Version.State.SETTLED, null);
        } else if (command instanceof Command.Reject c) {
            reject(c.name(), c.hash(), c.cause());
        }
    }

    private void propose(Version version) {
        Version existing = find(version.name());
        if (existing != null && existing.matches(version.name(), version.hash())) {
            return; // a repetition of the same proposal
        }
        Version open = open();
        if (existing != null) {
            reject(
                    version.name(),
                    version.hash(),
                    "version " + existing.number() + " was proposed by that name with another content");
        } else if (open != null) {
            reject(
                    version.name(),
                    version.hash(),
                    "beaten by " + open.name() + ", proposed at router " + open.proposer());
        } else {
            rejected.remove(version.name());
            all.add(version.withNumber(
                    all.isEmpty() ? 1 : all.get(all.size() - 1).number() + 1));
            // Drops the oldest versions, so that the version in effect and the one before it are not forgotten.
            while (all.size() > MAX_VERSIONS) {
                all.remove(0);
            }
        }
    }

    private void decide(Version open, Command.Decide c) {
        all.set(
                all.size() - 1,
                c.committed() ? open.committed(c.before()) : open.withState(Version.State.ABORTED, c.cause()));
        if (c.committed() && open.undoes() != 0) {
            replace(
                    open.undoes(),
                    null,
                    Version.State.UNDONE,
                    "taken back by version " + open.number() + ": " + open.cause());
        }
    }

    private void replace(int number, Version.State from, Version.State to, String cause) {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).number() == number && (from == null || all.get(i).state() == from)) {
                all.set(i, all.get(i).withState(to, cause == null ? all.get(i).cause() : cause));
            }
        }
    }

    private void reject(String name, byte[] hash, String cause) {
        rejected.put(name, new Rejected(hash, cause));
        if (rejected.size() > MAX_REJECTED) {
            rejected.remove(rejected.keySet().iterator().next());
        }
    }

    /** Encodes the whole state, for snapshots and for other routers. */
    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(16 + all.size() * 256 + rejected.size() * 160);
        out.put(FORMAT).putLong(revision).putShort((short) all.size());
        all.forEach(version -> version.put(out));
        out.putShort((short) rejected.size());
        rejected.forEach((name, one) -> {
            Version.put(out, name, Version.MOST_NAME);
            out.put(one.hash);
            Version.put(out, one.cause, Version.MAX_CAUSE_BYTES);
        });
        return Arrays.copyOf(out.array(), out.position());
    }

    /** Decodes a state, where no bytes give the empty state; returns null if the bytes are invalid. */
    static Versions decode(byte[] bytes) {
        Versions versions = new Versions();
        if (bytes.length == 0) {
            return versions;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.get() != FORMAT) {
                return null;
            }
            versions.revision = in.getLong();
            for (int i = in.getShort(); i > 0; i--) {
                versions.all.add(Version.get(in));
            }
            for (int i = in.getShort(); i > 0; i--) {
                versions.rejected.put(
                        Version.text(in), new Rejected(Version.bytes(in, Version.HASH_BYTES), Version.text(in)));
            }
            return in.hasRemaining() ? null : versions;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            return null;
        }
    }
}
