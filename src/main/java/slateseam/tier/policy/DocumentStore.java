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
    static final int MAX_CONTENT_BYTES = 96 * 1024;

    /** Size of a part; only the last part of a content may be shorter. */
    static final int PART_BYTES = 192;

    /** Maximum number of contents that are fetched at once; a further one replaces the oldest. */
    private static final int MAX_FETCHES = 4;
    /** Number of stored contents beyond which those that are not pinned are evicted. */
    private static final int MAX_STORED = 24;
    /** Maximum number of parts of one content that are requested and not yet received. */
    private static final int MAX_PARTS_IN_FLIGHT = 32;

    /** Time after which a part that has not arrived is requested again. */
    private static final long RETRY_NANOS = 120_000_000L;

    /** A content that is being fetched. */
    private static final class Fetch {
        final byte[] bytes;
        final BitSet received = new BitSet();
        final long[] requestedAt;
        int from;

        Fetch(int length, int from) {
            bytes = new byte[length];
            requestedAt = new long[parts(length)];
            this.from = from;
        }
    }

    private final BiConsumer<Integer, PolicyMessage> send;
    private final Map<ByteBuffer, byte[]> stored = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<ByteBuffer, Fetch> fetches = new LinkedHashMap<>();
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
        stored.put(ByteBuffer.wrap(hash), bytes);
        for (ByteBuffer old : List.copyOf(stored.keySet())) {
            if (stored.size() > MAX_STORED && !pinned.contains(old)) {
                stored.remove(old);
            }
        }
        return hash;
    }

    /** Sets the hashes of the contents that are never evicted; they replace the hashes that were pinned before. */
    void pin(Set<ByteBuffer> hashes) {
        pinned = hashes;
    }

    /** Returns a content by its hash, or null if it is not stored here. */
    byte[] get(byte[] hash) {
        return stored.get(ByteBuffer.wrap(hash));
    }

    /**
     * Starts to fetch a content from a router, unless it is already stored. If the content is already being fetched,
     * the remaining parts are requested from the given router from now on, as the router asked before may not have
     * the content.
     */
    void fetch(byte[] hash, int length, int from) {
        ByteBuffer key = ByteBuffer.wrap(hash);
        if (stored.containsKey(key) || length < 0 || length > MAX_CONTENT_BYTES) {
            return;
        }
        if (length == 0) {
            put(new byte[0]);
            return;
        }
        Fetch fetch = fetches.get(key);
        if (fetch == null || fetch.bytes.length != length) {
            while (fetches.size() >= MAX_FETCHES) {
                fetches.remove(fetches.keySet().iterator().next());
            }
            fetch = new Fetch(length, from);
            fetches.put(key, fetch);
        }
        fetch.from = from;
        requestParts(hash, fetch);
    }

    /** Requests missing parts, up to the limit of parts under way. */
    private void requestParts(byte[] hash, Fetch fetch) {
        int inFlight = 0;
        for (int i = 0; i < fetch.requestedAt.length; i++) {
            inFlight += !fetch.received.get(i) && fetch.requestedAt[i] != 0 && now - fetch.requestedAt[i] < RETRY_NANOS
                    ? 1
                    : 0;
        }
        List<Integer> missing = new ArrayList<>();
        for (int i = 0; i < fetch.requestedAt.length && inFlight + missing.size() < MAX_PARTS_IN_FLIGHT; i++) {
            if (!fetch.received.get(i) && (fetch.requestedAt[i] == 0 || now - fetch.requestedAt[i] >= RETRY_NANOS)) {
                fetch.requestedAt[i] = Math.max(1, now);
                missing.add(i);
            }
        }
        if (!missing.isEmpty()) {
            send.accept(
                    fetch.from,
                    new PolicyMessage.PartsRequest(
                            hash, missing.stream().mapToInt(i -> i).toArray()));
        }
    }

    /** Advances the clock, and requests again the parts that have not arrived in time. */
    void tick(long nanos) {
        now = nanos;
        fetches.forEach((key, fetch) -> requestParts(key.array(), fetch));
    }

    /** Handles another router's request for parts: sends the requested parts that are stored here. */
    void onPartsRequest(int from, PolicyMessage.PartsRequest request) {
        byte[] bytes = get(request.hash());
        for (int part : request.parts()) {
            int at = part * PART_BYTES;
            if (bytes != null && part >= 0 && at < bytes.length) {
                send.accept(
                        from,
                        new PolicyMessage.Part(
                                request.hash(),
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
    boolean onPart(PolicyMessage.Part part) {
        ByteBuffer key = ByteBuffer.wrap(part.hash());
        Fetch fetch = fetches.get(key);
        int at = part.index() * PART_BYTES;
        if (fetch == null
                || part.index() < 0
                || at >= fetch.bytes.length
                || part.bytes().length != Math.min(PART_BYTES, fetch.bytes.length - at)) {
            return false;
        }
        System.arraycopy(part.bytes(), 0, fetch.bytes, at, part.bytes().length);
        fetch.received.set(part.index());
        if (fetch.received.cardinality() < fetch.requestedAt.length) {
            requestParts(part.hash(), fetch);
            return false;
        }
        fetches.remove(key);
        if (!Arrays.equals(hash(fetch.bytes), part.hash())) {
            return false; // damaged: whoever needs the content will ask for it again
        }
        put(fetch.bytes);
        return true;
    }
}
