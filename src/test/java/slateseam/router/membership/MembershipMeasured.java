package slateseam.router.membership;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;

/**
 * What a change costs by the size of the farm, outside the tests: processor time, and memory. Arguments: the numbers of
 * servers. Slices hold 100 servers each; a change rewrites one slice in which one server turned, as controllers do.
 */
final class MembershipMeasured {
    private static final int A_SLICE = 100;
    private static final int CHANGES = 20_000;
    private static final long PAUSE = 5_000_000L; // 200 changes a second

    private final Random random = new Random(1);
    private final List<List<Endpoint>> slices = new ArrayList<>();
    private long version = 1;

    private MembershipMeasured(int servers) {
        for (int i = 0; i < servers; i++) {
            if (i % A_SLICE == 0) {
                slices.add(new ArrayList<>());
            }
            slices.get(i / A_SLICE).add(endpoint(i, true, new UUID(random.nextLong(), random.nextLong()).toString()));
        }
    }

    private static Endpoint endpoint(int i, boolean ready, String uid) {
        return new Endpoint(
                List.of("10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256),
                ready,
                ready,
                false,
                "zone-" + i % 4,
                "node-" + i / 10,
                List.of("zone-" + i % 4),
                uid,
                "cache-" + i);
    }

    private Slice slice(int n) {
        // Strings of their own, as a parser makes them.
        List<Endpoint> fresh = new ArrayList<>();
        for (Endpoint e : slices.get(n)) {
            fresh.add(new Endpoint(
                    List.of(new String(e.addresses().get(0))),
                    e.ready(),
                    e.serving(),
                    e.terminating(),
                    new String(e.zone()),
                    new String(e.nodeName()),
                    List.of(new String(e.hintZones().get(0))),
                    new String(e.targetUid()),
                    new String(e.targetName())));
        }
        return new Slice(
                "cache-" + n,
                "uid-" + n,
                ++version,
                false,
                6379,
                fresh,
                Map.of("kubernetes.io/service-name", "cache"),
                Map.of());
    }

    private Slice changed() {
        int n = random.nextInt(slices.size());
        int at = random.nextInt(slices.get(n).size());
        Endpoint e = slices.get(n).get(at);
        // One that drains is replaced by a new pod, or comes back.
        boolean replaced = !e.ready() && random.nextBoolean();
        String uid = replaced ? new UUID(random.nextLong(), random.nextLong()).toString() : e.targetUid();
        slices.get(n).set(at, endpoint(n * A_SLICE + at, !e.ready(), uid));
        return slice(n);
    }

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private void measure(boolean shown) {
        var thread = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = used();
        List<Slice> whole = new ArrayList<>();
        for (int n = 0; n < slices.size(); n++) {
            whole.add(slice(n));
        }
        Membership membership = new Membership(MembershipSettings.USUAL);
        long cpu = thread.getCurrentThreadCpuTime();
        membership.listed(whole, Long.toString(++version), 0);
        long listed = thread.getCurrentThreadCpuTime() - cpu;
        whole = null;
        long own = used() - before;
        long now = 0;
        long spent = 0;
        long longest = 0;
        long told = 0;
        long self = Thread.currentThread().getId();
        long bytes = 0;
        for (int i = 0; i < CHANGES; i++) {
            Slice slice = changed();
            now += PAUSE;
            long allocated = thread.getThreadAllocatedBytes(self);
            long begin = System.nanoTime();
            cpu = thread.getCurrentThreadCpuTime();
            membership.changed(slice, now);
            Membership.Changes changes = membership.changes(now);
            spent += thread.getCurrentThreadCpuTime() - cpu;
            longest = Math.max(longest, System.nanoTime() - begin);
            bytes += thread.getThreadAllocatedBytes(self) - allocated;
            told += changes.changed().size() + changes.gone().size();
        }
        long after = used() - before;
        cpu = thread.getCurrentThreadCpuTime();
        int remembered = membership.remembered().servers().size();
        long remembering = thread.getCurrentThreadCpuTime() - cpu;
        if (shown) {
            System.out.printf(
                    "%5d servers: list %6.1f ms, change %5.1f us (longest %.1f ms, %d KB), "
                            + "%.2f servers told a change, memory +%d KB with its slices, %d KB after; "
                            + "remembered %d in %.2f ms%n",
                    membership.servers(now).size(),
                    listed / 1e6,
                    spent / 1e3 / CHANGES,
                    longest / 1e6,
                    bytes / CHANGES / 1024,
                    (double) told / CHANGES,
                    own / 1024,
                    after / 1024,
                    remembered,
                    remembering / 1e6);
        }
    }

    public static void main(String[] args) {
        new MembershipMeasured(1_000).measure(false);
        for (String servers : args.length > 0 ? args : new String[] {"100", "500", "1000", "2000", "5000", "10000"}) {
            new MembershipMeasured(Integer.parseInt(servers)).measure(true);
        }
    }
}
