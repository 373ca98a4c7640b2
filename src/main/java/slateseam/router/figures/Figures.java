package slateseam.router.figures;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateseam.router.config.Features;
import slateseam.router.net.Clock;
import slateseam.router.net.Console;
import slateseam.router.net.Loop;
import slateseam.router.request.Ending;
import slateseam.router.request.Names;
import slateseam.router.request.RequestObserver;

/** Counters, gauges and timers for a collector: adds up what ends and writes it now and then. */
public final class Figures implements RequestObserver {
    /** Of the heap, for cells; where there are more of them a flush comes early. */
    private static final int HEAP_PART = 64;
    /** What a cell takes with its place in the order. */
    private static final int CELL_BYTES = 320;
    /** As many cells are kept whatever the heap. */
    private static final int LEAST_CELLS = 1_024;
    /** Cells that are written at once: what their lines take is less than what the console takes at a time. */
    private static final int AT_ONCE = 64;
    /** Until the next ones are written, so that they have room there. */
    private static final long PAUSE_NANOS = 10 * Clock.MILLI;

    private static final Ending[] ENDINGS = Ending.values();

    private final Loop loop;
    private final Names names;
    private final Counts counts;
    private final Format format;
    private final long flushNanos;
    private final List<Batches> destinations = new ArrayList<>();
    /** By class, tenant and ending, in one number, in the order in which they are written. */
    private TreeMap<Integer, Cell> cells = new TreeMap<>();

    private final int mostCells;
    /** Of a flush, what is not written yet. */
    private TreeMap<Integer, Cell> unwritten = new TreeMap<>();

    private boolean over;

    /** Begins; the counts are asked at each flush. */
    public Figures(Features.Figures settings, Loop loop, Names names, Console console, Counts counts)
            throws IOException {
        this.loop = loop;
        this.names = names;
        this.counts = counts;
        this.format = settings.influx() ? Format.INFLUX : Format.STATSD;
        this.flushNanos = settings.flushNanos();
        this.mostCells =
                (int) Math.min(Integer.MAX_VALUE, Math.max(LEAST_CELLS, loop.heapBytes() / HEAP_PART / CELL_BYTES));
        if (settings.file() != null) {
            destinations.add(new FiguresFile(console, settings.file()));
        }
        if (settings.udp() != null) {
            destinations.add(new Datagrams(loop.provider(), settings.udp()));
        }
        if (destinations.isEmpty()) {
            destinations.add(new StandardError(console, settings.mostStderrBytes()));
        }
        loop.after(flushNanos, this::flushAndWait);
    }

    @Override
    public void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos) {
        if (over) {
            return;
        }
        int cell = (requestClass * names.tenants().size() + tenant) * ENDINGS.length + ending.ordinal();
        if (cells.size() >= mostCells && !cells.containsKey(cell)) {
            flush(); // guards the memory against many classes and tenants
        }
        cells.computeIfAbsent(cell, c -> new Cell()).add(nanos);
    }

    private void flushAndWait() {
        if (!over) {
            loop.after(flushNanos, this::flushAndWait); // first, lest a fault in one flush be the end of all
            flush();
        }
    }

    /** Writes all that has come since the last flush: of few cells at once, of many in portions for which there is room. */
    public void flush() {
        write(unwritten.size()); // of the flush before, which must not stand behind this one
        over = destinations.stream().allMatch(Batches::isOver);
        for (Batches to : destinations) {
            if (!to.isOver()) {
                head(to);
            }
        }
        counts.told();
        unwritten = cells;
        cells = new TreeMap<>();
        writePortion(unwritten);
    }

    /** The same, and all of it at once, where names or the loop are about to go. */
    public void flushWhole() {
        flush();
        write(unwritten.size());
    }

    /** Goes on with a flush, unless another has begun meanwhile. */
    private void writePortion(TreeMap<Integer, Cell> of) {
        if (of == unwritten) {
            write(AT_ONCE);
            if (!unwritten.isEmpty()) {
                loop.after(PAUSE_NANOS, () -> writePortion(of));
            }
        }
    }

    private void head(Batches to) {
        long dropped = to.takeDropped();
        if (dropped > 0) {
            to.add(format.counter("figures_dropped", "", dropped));
        }
        counts.write(format, to::add);
    }

    private void write(int most) {
        for (int i = 0; i < most && !unwritten.isEmpty(); i++) {
            Map.Entry<Integer, Cell> entry = unwritten.pollFirstEntry();
            destinations.stream().filter(to -> !to.isOver()).forEach(to -> write(to, entry.getKey(), entry.getValue()));
        }
        destinations.stream().filter(to -> !to.isOver()).forEach(Batches::send);
    }

    private void write(Batches to, int number, Cell cell) {
        int place = number / ENDINGS.length;
        String tags = format.tags(
                names.classes().get(place / names.tenants().size()),
                names.tenants().get(place % names.tenants().size()),
                ENDINGS[number % ENDINGS.length].word());
        to.add(format.counter("req", tags, cell.count()));
        format.timer("latency_ms", tags, cell, to::add);
    }

    /** Writes what is left, at the end. */
    public void close() {
        flushWhole();
        destinations.forEach(Batches::close);
    }
}
