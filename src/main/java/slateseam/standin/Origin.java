package slateseam.standin;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The origin, asked in HTTP/1.1: {@code GET /KEY} and {@code PUT /KEY} with the id and the facts in headers. It begins
 * down; {@link #start} brings it up. A write that is carried out voids the copies of its key at all application
 * servers; a read that is still waited for when it ends is stored at those that missed it.
 */
public final class Origin extends StandInServer {
    private final String name;
    private final OriginFigures figures;
    private final Witness witness;
    private final Shared shared;
    private final Spoiler spoiler;
    private WorkerPool workers;
    private double slowness = 1;
    private double trouble;

    /**
     * Makes an origin that is down.
     *
     * @param name told to the witness
     * @param address where it takes connections once it is up
     * @param random its own source
     */
    public Origin(
            String name,
            String address,
            OriginFigures figures,
            World world,
            UniformRandomProvider random,
            Shared shared) {
        super(world.clock(), world.net(), random, address, figures.connections(), 0, true, figures.idleNanos());
        this.name = name;
        this.figures = figures;
        this.witness = world.witness();
        this.shared = shared;
        this.spoiler = new Spoiler(clock, random, tallies);
    }

    /** Starts; it is never cold. */
    public void start() {
        if (isUp()) {
            throw new IllegalStateException(name + " is up");
        }
        workers = new WorkerPool(
                clock,
                new Warmth(clock.now(), 1, 0),
                figures.places(),
                1,
                figures.places(),
                figures.queue(),
                new ServerFigures.Crowding(1, figures.crowding()));
        workers.slow(slowness);
        openUp();
    }

    /** The process dies: its connections are reset, its work is lost, new connections are refused. */
    public void stop() {
        if (isUp()) {
            workers.close();
            shutDown();
        }
    }

    /** All its work takes so many times as long from now on, also after a start; 1 is no change. */
    public void slow(double factor) {
        Range.check("slowness", factor, 0.01, 1_000);
        slowness = factor;
        if (isUp()) {
            workers.slow(factor);
        }
    }

    /**
     * From now on answers this share of requests, 0 to 1, with 500, 503 or 504, each as often; the first may have
     * run.
     */
    public void trouble(double share) {
        Range.share("share of troubled requests", share);
        trouble = share;
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
    public OriginFigures figures() {
        return figures;
    }

    /** Requests in work and queued. */
    public int held() {
        return isUp() ? workers.held() : 0;
    }

    @Override
    protected Link link(Wire wire) {
        return new OriginLink(this, wire);
    }

    /** The status that the next request is troubled with; 0 for none. */
    int trouble(long draws) {
        if (trouble == 0) {
            return 0;
        }
        double drawn = Draws.unit(Draws.hash(draws, "trouble"));
        return drawn >= trouble ? 0 : drawn < trouble / 3 ? 500 : drawn < trouble * 2 / 3 ? 503 : 504;
    }

    double work(boolean write, long draws) {
        double sigma = figures.sigma();
        double factor = sigma == 0 ? 1 : StrictMath.exp(sigma * Draws.normal(draws) - sigma * sigma / 2);
        return figures.meanSeconds() * factor * (write ? figures.writeMultiple() : 1);
    }

    /** The load report, as names and values. */
    String report() {
        return "inwork=" + workers.inWork() + ",waiting=" + (workers.held() - workers.inWork());
    }

    /** The header with the load report, if answers carry it. */
    String reportHeader() {
        return figures.reports() ? "X-Backend-Load: " + report() + "\r\n" : "";
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
