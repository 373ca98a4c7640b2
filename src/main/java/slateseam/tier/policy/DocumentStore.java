package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Content-addressed store of policy documents and encoded states, by hash. It fetches missing contents from other
 * routers in parts that fit into datagrams, and discards a content that does not have the requested hash.
 */
final class DocumentStore {
    /** Maximum size of one content. */
    static final int MOST_BYTES = 96 * 1024;

    /** Size of a part; only the last part of a content may be shorter. */
    static final int PART_BYTES = 192;

    private static final int MOST_WANTED = 4;
    private static final int MOST_KEPT = 24;
    /** Maximum number of parts of one content that are requested and not yet received. */
    private static final int MOST_UNDER_WAY = 32;

    /** Time after which a part that has not arrived is requested again. */
    private static final long AGAIN_NANOS = 120_000_000L;

    /** A content that is being fetched. */
    private static final class Wanted {
        final byte[] bytes;
        final BitSet come = new BitSet();
        final long[] askedAt;
        int from;

        Wanted(int length, int from) {
            bytes = new byte[length];
            askedAt = new long[parts(length)];
            this.from = from;
        }
    }

    private final BiConsumer<Integer, PolicyMessage> send;
    private final Map<ByteBuffer, byte[]> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<ByteBuffer, Wanted> wanted = new LinkedHashMap<>();
    private Set<ByteBuffer> pinned = Set.of();
    private long now;

    DocumentStore(BiConsumer<Integer, PolicyMessage> send) {
        this.send = send;
    }

    private static int parts(int length) {
        return (length + PART_BYTES - 1) / PART_BYTES;
    }

    static byte[] hash(byte[] bytes) {
        try {
            return Arrays.copyOf(MessageDigest.getInstance("SHA-256").digest(bytes), Version.HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform must support SHA-256
        }
    }

    /**
     * Stores a content, and evicts the least recently used contents that are not pinned if too many are stored.
     *
     * @return the hash of the content
     */
    byte[] put(byte[] bytes) {
        byte[] hash = hash(bytes);
        kept.put(ByteBuffer.wrap(hash), bytes);
        for (ByteBuffer old : List.copyOf(kept.keySet())) {
            if (kept.size() > MOST_KEPT && !pinned.contains(old)) {
                kept.remove(old);
            }
        }
        return hash;
    }

    /** Sets the hashes of the contents that are never evicted; they replace the hashes that were pinned before. */
    void pin(Set<ByteBuffer> some) {
        pinned = some;
    }

    /** Returns a content by its hash, or null if it is not stored here. */
    byte[] get(byte[] hash) {
        return kept.get(ByteBuffer.wrap(hash));
    }

    /**
     * Starts to fetch a content from a router, unless it is already stored. If the content is already being fetched,
     * the remaining parts are requested from the given router from now on, as the router asked before may not have
     * the content.
     */
    void want(byte[] hash, int length, int from) {
        ByteBuffer key = ByteBuffer.wrap(hash);
        if (kept.containsKey(key) || length < 0 || length > MOST_BYTES) {
            return;
        }
        if (length == 0) {
            put(new byte[0]);
            return;
        }
        Wanted one = wanted.get(key);
        if (one == null || one.bytes.length != length) {
            while (wanted.size() >= MOST_WANTED) {
                wanted.remove(wanted.keySet().iterator().next());
            }
            one = new Wanted(length, from);
            wanted.put(key, one);
        }
        one.from = from;
        ask(hash, one);
    }

    /** Requests missing parts, up to the limit of parts under way. */
    private void ask(byte[] hash, Wanted one) {
        int underWay = 0;
        for (int i = 0; i < one.askedAt.length; i++) {
            underWay += !one.come.get(i) && one.askedAt[i] != 0 && now - one.askedAt[i] < AGAIN_NANOS ? 1 : 0;
        }
        List<Integer> some = new ArrayList<>();
        for (int i = 0; i < one.askedAt.length && underWay + some.size() < MOST_UNDER_WAY; i++) {
            if (!one.come.get(i) && (one.askedAt[i] == 0 || now - one.askedAt[i] >= AGAIN_NANOS)) {
                one.askedAt[i] = Math.max(1, now);
                some.add(i);
            }
        }
        if (!some.isEmpty()) {
            send.accept(
                    one.from,
                    new PolicyMessage.Want(hash, some.stream().mapToInt(i -> i).toArray()));
        }
    }

    /** Advances the clock, and requests again the parts that have not arrived in time. */
    void tick(long nanos) {
        now = nanos;
        wanted.forEach((key, one) -> ask(key.array(), one));
    }

    /** Handles another router's request for parts: sends the requested parts that are stored here. */
    void asked(int from, PolicyMessage.Want want) {
        byte[] bytes = get(want.hash());
        for (int part : want.parts()) {
            int at = part * PART_BYTES;
            if (bytes != null && part >= 0 && at < bytes.length) {
                send.accept(
                        from,
                        new PolicyMessage.Part(
                                want.hash(),
                                part,
                                Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + PART_BYTES))));
            }
        }
    }

    /**
     * Handles a received part.
     *
     * @return whether the content is complete with this part, and has the requested hash
     */
    boolean came(PolicyMessage.Part part) {
        ByteBuffer key = ByteBuffer.wrap(part.hash());
        Wanted one = wanted.get(key);
        int at = part.index() * PART_BYTES;
        if (one == null
                || part.index() < 0
                || at >= one.bytes.length
                || part.bytes().length != Math.min(PART_BYTES, one.bytes.length - at)) {
            return false;
        }
        System.arraycopy(part.bytes(), 0, one.bytes, at, part.bytes().length);
        one.come.set(part.index());
        if (one.come.cardinality() < one.askedAt.length) {
            ask(part.hash(), one);
            return false;
        }
        wanted.remove(key);
        if (!Arrays.equals(hash(one.bytes), part.hash())) {
            return false; // damaged: whoever needs the content will ask for it again
        }
        put(one.bytes);
        return true;
    }
}
