package slateseam.trial.disk;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A folder of files on a disk that loses, at a power cut, whatever was not forced, and lies as it is told. It gives what POSIX
 * promises and no more: a file's bytes last once the file was forced, its name once the folder was. Of a file's content only the
 * whole matters here; it does no I/O of its own and knows no clock.
 */
public final class LyingFolder {
    /** A file by whatever name: what the program sees, and what would be left. */
    static final class Node {
        byte[] seen;
        /** Null while it was never forced. */
        byte[] lasting;

        Node(byte[] seen, byte[] lasting) {
            this.seen = seen;
            this.lasting = lasting;
        }
    }

    private final DurableFiles disk;
    private final RandomGenerator random;
    private final Set<Lie> lies = EnumSet.noneOf(Lie.class);
    /** As the program sees them. */
    private final Map<String, Node> names = new LinkedHashMap<>();
    /** As they would be after a power cut. */
    private final Map<String, Node> lasting = new HashMap<>();
    /** What the disk holds, and held before that. */
    private final Map<String, byte[]> written = new TreeMap<>();

    private final Map<String, byte[]> before = new HashMap<>();
    /** Forced while the disk was late. */
    private final Map<Node, byte[]> late = new LinkedHashMap<>();

    private boolean namesLate;

    /** A folder with what lies on the disk. */
    public LyingFolder(DurableFiles disk, RandomGenerator random) throws IOException {
        this.disk = disk;
        this.random = random;
        disk.all().forEach((name, bytes) -> {
            Node node = new Node(bytes, bytes);
            names.put(name, node);
            lasting.put(name, node);
            written.put(name, bytes);
        });
    }

    /** From now on it lies so, and in no other way. */
    public synchronized void lie(Set<Lie> now) throws IOException {
        boolean nowOld = now.contains(Lie.OLD) && !lies.contains(Lie.OLD);
        boolean onTime = lies.contains(Lie.LATE) && !now.contains(Lie.LATE);
        lies.clear();
        lies.addAll(now);
        if (onTime) {
            late.forEach((node, bytes) -> node.lasting = bytes);
            late.clear();
            if (namesLate) {
                namesLate = false;
                lasting.clear();
                lasting.putAll(names);
            }
            sync();
        }
        if (nowOld) {
            for (Map.Entry<String, byte[]> old : before.entrySet()) {
                put(old.getKey(), old.getValue());
            }
        }
    }

    /** Whether a force takes its time now. */
    synchronized boolean isSlow() {
        return lies.contains(Lie.SLOW);
    }

    /** Opens a file: makes it, or cuts it to nothing, if asked to. */
    synchronized Node open(String name, boolean create, boolean write, boolean truncate) throws IOException {
        there(name);
        Node node = names.get(name);
        if (write) {
            writable(name);
        }
        if (node == null) {
            if (!create) {
                throw new NoSuchFileException(name);
            }
            node = new Node(new byte[0], null);
            names.put(name, node);
        } else if (truncate) {
            node.seen = new byte[0];
        }
        return node;
    }

    /** Checks that the folder can be opened. */
    synchronized void openNames() throws IOException {
        there(".");
    }

    synchronized byte[] bytes(Node node) {
        return node.seen;
    }

    /** Writes at a place of a file; says how many bytes it took. */
    synchronized int write(String name, Node node, int at, byte[] bytes) throws IOException {
        writable(name);
        boolean full = lies.contains(Lie.FULL);
        int taken = full ? bytes.length / 2 : bytes.length;
        byte[] grown = Arrays.copyOf(node.seen, Math.max(node.seen.length, at + taken));
        System.arraycopy(bytes, 0, grown, at, taken);
        node.seen = grown;
        if (full) {
            throw new FileSystemException(name, null, "No space left on device");
        }
        return taken;
    }

    /** Says that a file's bytes are on the disk. */
    synchronized void force(Node node) throws IOException {
        byte[] bytes = node.seen.clone();
        if (lies.contains(Lie.LOST)) {
            return;
        }
        if (lies.contains(Lie.LATE)) {
            late.put(node, bytes);
            return;
        }
        if (bytes.length > 0 && (lies.contains(Lie.TORN) || lies.contains(Lie.SHORT))) {
            int kept = random.nextInt(bytes.length);
            bytes = lies.contains(Lie.SHORT)
                    ? Arrays.copyOf(bytes, kept)
                    : Arrays.copyOf(Arrays.copyOf(bytes, kept), bytes.length);
        }
        if (bytes.length > 0 && lies.contains(Lie.FLIP)) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
        }
        node.lasting = bytes;
        sync();
    }

    /** Says that all names are on the disk. */
    synchronized void forceNames() throws IOException {
        there(".");
        if (lies.contains(Lie.LATE)) {
            namesLate = true;
        } else if (!lies.contains(Lie.LOST) && !lies.contains(Lie.FORGETS)) {
            lasting.clear();
            lasting.putAll(names);
            sync();
        }
    }

    /** Gives a file another name, which loses what it named before. */
    synchronized void rename(String from, String to) throws IOException {
        there(from);
        writable(from);
        Node node = names.remove(from);
        if (node == null) {
            throw new NoSuchFileException(from);
        }
        names.put(to, node);
    }

    /** Removes a name; false if it is not there. */
    synchronized boolean remove(String name) throws IOException {
        there(name);
        if (!names.containsKey(name)) {
            return false;
        }
        writable(name);
        names.remove(name);
        return true;
    }

    synchronized boolean has(String name) {
        return !lies.contains(Lie.GONE) && names.containsKey(name);
    }

    private void there(String name) throws IOException {
        if (lies.contains(Lie.GONE)) {
            throw new NoSuchFileException(name);
        }
    }

    private void writable(String name) throws IOException {
        if (lies.contains(Lie.READ_ONLY)) {
            throw new FileSystemException(name, null, "Read-only file system");
        }
    }

    /** Brings the disk to what would be left. */
    private void sync() throws IOException {
        Map<String, byte[]> left = new TreeMap<>();
        lasting.forEach((name, node) -> left.put(name, node.lasting == null ? new byte[0] : node.lasting));
        for (Map.Entry<String, byte[]> one : left.entrySet()) {
            if (!Arrays.equals(one.getValue(), written.get(one.getKey()))) {
                byte[] had = written.get(one.getKey());
                if (had != null) {
                    before.put(one.getKey(), had);
                }
                put(one.getKey(), one.getValue());
            }
        }
        for (String name : Set.copyOf(written.keySet())) {
            if (!left.containsKey(name)) {
                written.remove(name);
                disk.remove(name);
            }
        }
    }

    private void put(String name, byte[] bytes) throws IOException {
        written.put(name, bytes);
        disk.put(name, bytes);
    }
}
