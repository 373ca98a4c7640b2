package slateseam.standin.useragent;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * How well user agents were served: the worth answered within the aim over the worth asked for. Retries count to the
 * first try, by whose time a request belongs to a second. What a tenant asks beyond its limit, counted over each second
 * from the beginning, has a part of its worth. Requests whose user agent left early count neither way.
 */
public final class Service implements Outcomes {
    private static final long SECOND = 1_000_000_000L;
    private static final long MICRO = 1_000L;
    private static final int WINDOW = 10;
    private static final int DIGITS = 2;

    /** Worth asked for and worth served. */
    public static final class Tally {
        private double asked;
        private double served;
        private long requests;

        private void add(double worth, double part) {
            asked += worth;
            served += worth * part;
            requests++;
        }

        /** How many requests there were. */
        public long requests() {
            return requests;
        }

        /** The served part of the worth, 0 to 1; 1 where nothing was asked. */
        public double service() {
            return asked == 0 ? 1 : served / asked;
        }
    }

    private final long begin;
    private final double overShareWorth;
    private final Tally whole = new Tally();
    private final Map<String, Tally> classes = new TreeMap<>();
    private final Map<String, Tally> tenants = new TreeMap<>();
    private final List<Tally> seconds = new ArrayList<>();
    private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
    private final Map<String, Histogram> times = new TreeMap<>();
    /** How many requests each tenant has asked in the second that it asked in last. */
    private final Map<String, long[]> asked = new TreeMap<>();
    /** Requests that are over their tenant's share, until they end. */
    private final Set<Request> over = new HashSet<>();

    private long open;
    private long tries;
    private long resent;
    private long unasked;
    private long late;
    private double beyondAim;

    /**
     * Begins to count.
     *
     * @param begin of the day, in Unix time in nanoseconds
     * @param overShareWorth worth of what is asked beyond a tenant's limit, as a part
     */
    public Service(long begin, double overShareWorth) {
        this.begin = begin;
        this.overShareWorth = overShareWorth;
    }

    @Override
    public void asked(Request request) {
        open++;
        TenantFigures tenant = request.tenant();
        if (tenant != null) {
            long second = (request.asked() - begin) / SECOND;
            long[] count = asked.computeIfAbsent(tenant.name(), name -> new long[] {-1, 0});
            count[1] = count[0] == second ? count[1] + 1 : 1;
            count[0] = second;
            if (count[1] > tenant.limit()) {
                over.add(request);
            }
        }
    }

    @Override
    public void tried(Request request, String id, String router, long at, boolean again) {
        tries++;
        resent += again ? 1 : 0;
    }

    @Override
    public void ended(Request request, Ending ending, long at) {
        open--;
        endings.merge(ending, 1L, Long::sum);
        boolean beyondShare = over.remove(request);
        if (ending == Ending.LEFT) {
            return;
        }
        ClassFigures kind = request.kind();
        double worth = kind.worth() * (beyondShare ? overShareWorth : 1);
        long took = at - request.asked();
        boolean served = ending == Ending.SERVED;
        double part = !served || took > kind.deadlineNanos() ? 0 : took <= kind.aimNanos() ? 1 : kind.lateWorth();
        if (served) {
            late += took > kind.aimNanos() ? 1 : 0;
            times.computeIfAbsent(kind.name(), name -> new Histogram(DIGITS)).recordValue(took / MICRO);
        }
        // An unserved request that failed before its aim could still have been asked for elsewhere in time.
        beyondAim += part == 0 && took > kind.aimNanos() ? worth : 0;
        whole.add(worth, part);
        classes.computeIfAbsent(kind.name(), name -> new Tally()).add(worth, part);
        if (request.tenant() != null) {
            tenants.computeIfAbsent(request.tenant().name(), name -> new Tally())
                    .add(worth, part);
        }
        int second = (int) Math.max(0, (request.asked() - begin) / SECOND);
        while (seconds.size() <= second) {
            seconds.add(new Tally());
        }
        seconds.get(second).add(worth, part);
    }

    @Override
    public void unasked(String userAgent, String router, long at) {
        unasked++;
    }

    /** Of all requests. */
    public Tally whole() {
        return whole;
    }

    /** By the classes' names, in their order. */
    public Map<String, Tally> byClass() {
        return new TreeMap<>(classes);
    }

    /** By the tenants' names, in their order. */
    public Map<String, Tally> byTenant() {
        return new TreeMap<>(tenants);
    }

    /** How many requests ended in each way. */
    public Map<Ending, Long> endings() {
        return new EnumMap<>(endings);
    }

    /** Requests that have not ended. */
    public long open() {
        return open;
    }

    /** Tries that were written to a router, without those that were sent again. */
    public long tries() {
        return tries - resent;
    }

    /** Tries sent once more because a close had crossed them. */
    public long resent() {
        return resent;
    }

    /** How often bytes came that nobody had asked for. */
    public long unasked() {
        return unasked;
    }

    /** Requests served behind their aim. */
    public long late() {
        return late;
    }

    /** The part of the worth that was not served, and of which that was not known before the aim. */
    public double unservedBehindAim() {
        return whole.asked == 0 ? 0 : beyondAim / whole.asked;
    }

    /** The least service of any ten seconds that follow one another; of the whole where there are fewer. */
    public double worstTenSeconds() {
        double worst = whole.service();
        for (int from = 0; from + WINDOW <= seconds.size(); from++) {
            double worth = 0;
            double served = 0;
            for (Tally second : seconds.subList(from, from + WINDOW)) {
                worth += second.asked;
                served += second.served;
            }
            worst = worth == 0 ? worst : Math.min(worst, served / worth);
        }
        return worst;
    }

    /** How long served requests took from their first try, in microseconds, by the classes' names. */
    public Map<String, Histogram> times() {
        return new TreeMap<>(times);
    }
}
