package slateseam.router.figures;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateseam.router.config.Features;
import slateseam.router.net.Console;
import slateseam.router.net.Loop;
import slateseam.router.request.Ending;
import slateseam.router.request.Names;
import slateseam.router.request.RequestObserver;

/** Counters, gauges and timers for a collector: adds up what ends and writes it now and then. */
public final class Figures implements RequestObserver {
    /** Where there are more, a flush comes early. */
    private static final int MOST_CELLS = 256;
    private static final Ending[] ENDINGS = Ending.values();

    private final Loop loop;
    private final Names names;
    private final Counts counts;
    private final Format format;
    private final long flushNanos;
    private final List<Batches> destinations = new ArrayList<>();
    /** By class, tenant and ending, in one number, in the order in which they are written. */
    private final Map<Integer, Cell> cells = new TreeMap<>();
    private boolean over;

    /** Begins; the counts are asked at each flush. */
    public Figures(Features.Figures settings, Loop loop, Names names, Console console, Counts counts)
            throws IOException {
        this.loop = loop;
        this.names = names;
        this.counts = counts;
        this.format = settings.influx() ? Format.INFLUX : Format.STATSD;
        this.flushNanos = settings.flushNanos();
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
        if (cells.size() >= MOST_CELLS && !cells.containsKey(cell)) {
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

    /** Writes all that has come since the last flush. */
    public void flush() {
        over = destinations.stream().allMatch(Batches::isOver);
        for (Batches to : destinations) {
            if (!to.isOver()) {
                write(to);
            }
        }
        cells.clear();
        counts.told();
    }

    private void write(Batches to) {
        long dropped = to.takeDropped();
        if (dropped > 0) {
            to.add(format.counter("figures_dropped", "", dropped));
        }
        counts.write(format, to::add);
        for (Map.Entry<Integer, Cell> entry : cells.entrySet()) {
            int place = entry.getKey() / ENDINGS.length;
            String tags = format.tags(names.classes().get(place / names.tenants().size()),
                    names.tenants().get(place % names.tenants().size()), ENDINGS[entry.getKey() % ENDINGS.length].word());
            to.add(format.counter("req", tags, entry.getValue().count()));
            format.timer("latency_ms", tags, entry.getValue(), to::add);
        }
        to.send();
    }

    /** Writes what is left, at the end. */
    public void close() {
        flush();
        destinations.forEach(Batches::close);
    }
}
