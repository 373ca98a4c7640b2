package slateseam.router.hot;

import java.util.List;
import slateseam.router.config.Features;
import slateseam.router.net.Lines;
import slateseam.router.net.Loop;
import slateseam.router.request.Ending;
import slateseam.router.request.Names;
import slateseam.router.request.RequestObserver;

/** Which keys are asked for most: counts requests by window and shows the highest counts when asked. */
public final class HotList implements RequestObserver {
    private static final double SECOND = 1_000_000_000;

    /** What a window that is over has left. */
    private record Past(List<SpaceSaving.Count> top, double mostError) {}

    private final Loop loop;
    private final Names names;
    private final Lines out;
    private final long windowNanos;
    private final int shown;
    private final SpaceSaving counts;
    private long begunAt;
    private Past past = new Past(List.of(), 0);

    /** Creates an empty list whose first window begins now. */
    public HotList(Features.HotList settings, Loop loop, Names names, Lines out) {
        this.loop = loop;
        this.names = names;
        this.out = out;
        this.windowNanos = settings.windowNanos();
        this.shown = settings.shown();
        this.counts = new SpaceSaving(settings.slots());
        this.begunAt = loop.now();
    }

    @Override
    public void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos) {
        turn();
        counts.count(tenant, key);
    }

    /**
     * Writes the highest counts: of the current window, or of the last one until half of the current one is over. Guards
     * against a signal just behind a turn, which would find next to nothing.
     */
    public void show() {
        turn();
        long spent = loop.now() - begunAt;
        if (spent < windowNanos / 2 && !past.top.isEmpty()) {
            write(past.top, past.mostError, windowNanos / SECOND);
        } else {
            write(counts.top(shown), counts.mostError(), Math.max(1, spent / SECOND));
        }
    }

    private void turn() {
        long windows = (loop.now() - begunAt) / windowNanos;
        if (windows > 0) {
            past = windows == 1 ? new Past(counts.top(shown), counts.mostError()) : new Past(List.of(), 0);
            counts.clear();
            begunAt += windows * windowNanos;
        }
    }

    private void write(List<SpaceSaving.Count> top, double mostError, double seconds) {
        if (top.isEmpty()) {
            out.line("hot none");
        }
        String error = " err<=" + Math.ceil(10 * mostError / seconds) / 10 + "/s";
        for (SpaceSaving.Count c : top) {
            out.line("hot t=" + names.tenants().get(c.tenant()) + " key=" + Names.key(c.key()) + " rate="
                    + Math.round(10 * c.count() / seconds) / 10.0 + "/s" + error);
        }
    }
}
