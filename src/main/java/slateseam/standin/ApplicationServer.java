package slateseam.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An application server: cores with slots and a waiting room, a store of copies, and connections on which routers ask
 * in RESP2. It begins down; {@link #start} brings it up. What lies beyond a bound is told at the figure that sets it.
 */
public final class ApplicationServer extends StandInServer {
    /** Fetches that are told to be out; beyond them the oldest counts as out no more. */
    private static final int MOST_FETCHES = 65_536;

    private static final long MILLI = 1_000_000;

    private final String name;
    private final ServerFigures figures;
    private final WorkFigures work;
    private final Witness witness;
    private final Shared shared;
    private final Spoiler spoiler;
    /** The same at all servers, lest a request weigh more at one than at another. */
    private final long salt;
    /** Until when a fetch of each key counts as out, the oldest first. */
    private final Map<String, Long> fetches = new LinkedHashMap<>();

    private Store store;
    private Warmth warmth;
    private ColdLoad coldLoad;
    private WorkerPool workers;
    private double slowness = 1;
    private int starts;
    private long born;
    private boolean draining;

    /**
     * Makes a server that is down.
     *
     * @param name told to the witness
     * @param address where it takes connections once it is up
     * @param random its own source
     */
    public ApplicationServer(
            String name,
            String address,
            ServerFigures figures,
            WorkFigures work,
            World world,
            UniformRandomProvider random,
            Shared shared) {
        super(
                world.clock(),
                world.net(),
                random,
                address,
                figures.connections().most(),
                figures.connections().beyond() == ServerFigures.Beyond.BUSY
                        ? figures.connections().most()
                        : 0,
                figures.connections().beyond() == ServerFigures.Beyond.REFUSED,
                figures.connections().idleNanos());
        this.name = name;
        this.figures = figures;
        this.work = work;
        this.witness = world.witness();
        this.shared = shared;
        this.spoiler = new Spoiler(clock, random, tallies);
        this.salt = shared.archive().salt();
        this.store = new Store(clock, figures.keeping());
        shared.copies().join(this);
    }

    /** Starts with an empty store; a cold one has a share of its capacity and warms up. */
    public void start(boolean cold) {
        if (isUp()) {
            throw new IllegalStateException(name + " is up");
        }
        starts++;
        born = clock.now();
        draining = false;
        store = new Store(clock, figures.keeping());
        fetches.clear();
        warmth = new Warmth(born, figures.cold().share(), cold ? figures.cold().warmNanos() : 0);
        coldLoad = new ColdLoad(figures.cold());
        workers = new WorkerPool(
                clock,
                warmth,
                figures.cores(),
                figures.speed(),
                figures.slots(),
                figures.waitingRoom(),
                figures.crowding());
        workers.slow(slowness);
        openUp();
    }

    /** The process dies: its connections are reset, its work and its copies are lost, new connections are refused. */
    public void stop() {
        if (isUp()) {
            workers.close();
            store = new Store(clock, figures.keeping());
            fetches.clear();
            shutDown();
        }
    }

    /** It wants nothing new from now on. It serves what comes all the same, and counts it. */
    public void drain() {
        draining = true;
    }

    /**
     * All its work takes so many times as long from now on, also after a start; at least 1 is usual, 1 is no change.
     */
    public void slow(double factor) {
        Range.check("slowness", factor, 0.01, 1_000);
        slowness = factor;
        if (isUp()) {
            workers.slow(factor);
        }
    }

    /** Spoils answers from now on; null for none. */
    public void spoil(Spoil how) {
        spoiler.set(how);
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** Its figures. */
    public ServerFigures figures() {
        return figures;
    }

    /** How often it was started. */
    public int starts() {
        return starts;
    }

    /** Its last start, in Unix time in milliseconds; 0 if there was none. */
    public long bornMillis() {
        return born / MILLI;
    }

    /** Whether it drains. */
    public boolean isDraining() {
        return draining;
    }

    /** Requests in work and waiting. */
    public int held() {
        return isUp() ? workers.held() : 0;
    }

    /** Copies kept. */
    public int copies() {
        return store.entries();
    }

    /** What it can do now, in core seconds at speed 1 a second, were it not crowded. */
    public double capacity() {
        return isUp() ? figures.capacity() * warmth.at(clock.now()) / slowness : 0;
    }

    /** Keeps a key at its present version, as if it had been asked for lately. */
    public void prefill(String key) {
        store(key, shared.archive().version(key), shared.archive().size(key));
    }

    void store(String key, long version, int size) {
        fetches.remove(key);
        if (isUp()) {
            store.keep(key, version, size);
        }
    }

    void voidKey(String key) {
        store.drop(key);
    }

    void voidShare(double share, long which) {
        store.dropShare(share, which);
    }

    @Override
    protected Link link(Wire wire) {
        return new ServerLink(this, wire);
    }

    @Override
    void counted(int open) {
        workers.tax(figures.connections().tax()
                * Math.min(1, open / (double) figures.connections().most()));
    }

    /** Does a new connection's work, then lets its first request wait, then goes on. */
    void handshake(ServerLink link) {
        workers.beside(new WorkerPool.Job() {
            @Override
            double begin() {
                return figures.connections().openSeconds();
            }

            @Override
            void done() {
                clock.at(clock.now() + figures.connections().firstNanos(), link::ready);
            }
        });
    }

    /** The work of a request that is at its full length, in core seconds at speed 1. */
    double work(String className, String id, long draws) {
        WorkFigures.OfClass of = work.of(className);
        return of.meanSeconds()
                * Draws.factor(of.spread(), Draws.normal(Draws.hash(salt, id)))
                * (of.noise() == 0 ? 1 : Draws.factor(of.noise(), Draws.normal(draws)));
    }

    /** Counts a request; whether the server still stands. */
    boolean stands(ServerRequest request) {
        tallies.add(Counter.ASKED);
        if (draining) {
            tallies.add(Counter.ASKED_DRAINING);
        }
        if (!warmth.isCold(clock.now())) {
            return true;
        }
        double sent = request.isServedHere()
                ? request.fullWork
                : request.fullWork * figures.keeping().missShare();
        double capacity = capacity();
        witness.load(name, sent, capacity);
        if (coldLoad.isTooMuch(clock.now(), sent, capacity)) {
            witness.fell(name);
            stop();
            return false;
        }
        return true;
    }

    /** Whether a fetch of a key is out; if not, one counts as out from now on. */
    boolean isFetched(String key) {
        long now = clock.now();
        Long until = fetches.get(key);
        if (until != null && until > now) {
            return true;
        }
        fetches.remove(key);
        fetches.put(key, now + figures.keeping().fetchNanos());
        if (fetches.size() > MOST_FETCHES) {
            Iterator<String> oldest = fetches.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return false;
    }

    /** The load report, as names and values. */
    String report() {
        long reads = tallies.of(Counter.HIT) + tallies.of(Counter.MISS) + tallies.of(Counter.PENDING);
        long hits = reads == 0 ? 0 : 100 * tallies.of(Counter.HIT) / reads;
        return "inwork=" + workers.inWork() + ",waiting=" + (workers.held() - workers.inWork()) + ",hits=" + hits;
    }

    Store store() {
        return store;
    }

    WorkerPool workers() {
        return workers;
    }

    Shared shared() {
        return shared;
    }

    Witness witness() {
        return witness;
    }

    Spoiler spoiler() {
        return spoiler;
    }
}
