package slateseam.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Clock;

/** All hollow routers of a run, on a few loops. */
final class HollowTier implements AutoCloseable {
    /** Starts are spread over so long, so that not all tick at the same moment. */
    private static final long START_NANOS = 1_000 * Clock.MILLI;

    private final List<HollowLoop> loops = new ArrayList<>();
    private final Map<Integer, HollowRouter> routers = new TreeMap<>();
    private final Map<Integer, HollowLoop> homes = new TreeMap<>();

    HollowTier(int threads, Impairments impairments, Clock clock) throws IOException {
        for (int i = 0; i < threads; i++) {
            loops.add(new HollowLoop(i, impairments, clock));
        }
    }

    /** Adds a router, which is down. */
    void add(
            int number,
            RouterTexts texts,
            List<InetSocketAddress> peers,
            InetSocketAddress discovery,
            Features features,
            HollowRouter.Observer observer)
            throws InvalidConfigException {
        HollowLoop home = loops.get(routers.size() % loops.size());
        routers.put(number, new HollowRouter(texts.hollow(number, peers, discovery), features, home.loop(), observer));
        homes.put(number, home);
    }

    /** Starts all, spread over a second. */
    void start() {
        int started = 0;
        for (int number : routers.keySet()) {
            long delay = START_NANOS * started++ / routers.size();
            HollowLoop home = homes.get(number);
            home.run(() -> home.loop().after(delay, routers.get(number)::start));
        }
    }

    /** Does something with a router on its thread, later. */
    void tell(int number, Consumer<HollowRouter> action) {
        homes.get(number).run(() -> action.accept(routers.get(number)));
    }

    /** The same after so many nanoseconds. */
    void after(int number, long nanos, Consumer<HollowRouter> action) {
        HollowLoop home = homes.get(number);
        home.run(() -> home.loop().after(nanos, () -> action.accept(routers.get(number))));
    }

    /** How many routers one sees, itself among them. */
    int present(int number) throws InterruptedException {
        return homes.get(number).call(() -> routers.get(number).present().size());
    }

    List<Integer> numbers() {
        return List.copyOf(routers.keySet());
    }

    /** For how long something that was ready waited for its thread at the most since the last call, in nanoseconds. */
    long takeStall() throws InterruptedException {
        long longest = 0;
        for (HollowLoop loop : loops) {
            longest = Math.max(longest, loop.takeStall());
        }
        return longest;
    }

    /** The first fault inside the code under test; null if there was none. */
    String error() {
        return loops.stream()
                .map(HollowLoop::error)
                .filter(error -> error != null)
                .findFirst()
                .orElse(null);
    }

    @Override
    public void close() {
        loops.forEach(HollowLoop::close);
    }
}
