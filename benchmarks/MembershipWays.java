import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Plays the ways of membership that the design note weighs, each in its plainest form, on a virtual clock: what a death, loss, pauses and
 * cuts make of them. It uses nothing of the program: java benchmarks/MembershipWays.java [MEMBERS] [SEEDS]. Times are milliseconds.
 */
public final class MembershipWays {
    private static final long PERIOD = 200;

    /** What a way does at one member. */
    interface Way {
        void tick(int me);

        void heard(int me, int from, Object message);

        boolean dead(int me, int other);

        default void woke(int me) {}
    }

    private record Event(long at, long order, Runnable action) {}

    /** Members, ways between them, and the faults. */
    static final class World {
        final int n;
        final SplittableRandom random;
        final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        final boolean[] down;
        final boolean[] paused;
        final Set<Long> cuts = new HashSet<>();
        Way way;
        double loss;
        long now;
        long order;
        long sent;

        World(int n, long seed) {
            this.n = n;
            random = new SplittableRandom(seed);
            down = new boolean[n];
            paused = new boolean[n];
        }

        void begin(Way chosen) {
            way = chosen;
            for (int i = 0; i < n; i++) {
                tick(i, random.nextLong(50));
            }
        }

        private void tick(int i, long in) {
            after(in, () -> {
                if (!down[i] && !paused[i]) {
                    way.tick(i);
                }
                tick(i, 50);
            });
        }

        void after(long in, Runnable action) {
            events.add(new Event(now + in, order++, action));
        }

        void send(int from, int to, Object message) {
            sent++;
            if (random.nextDouble() >= loss && !cuts.contains((long) from << 32 | to)) {
                after(1 + random.nextLong(8), () -> arrive(from, to, message));
            }
        }

        private void arrive(int from, int to, Object message) {
            if (!down[to] && !paused[to]) {
                way.heard(to, from, message);
            }
        }

        void run(long millis) {
            long end = now + millis;
            while (!events.isEmpty() && events.peek().at <= end) {
                Event next = events.poll();
                now = next.at;
                next.action.run();
            }
            now = end;
        }

        void pause(int i, boolean on) {
            if (paused[i] && !on) {
                way.woke(i);
            }
            paused[i] = on;
        }
    }

    /** Each tells all others each period that it is there, and judges by itself. */
    static final class All implements Way {
        final World w;
        final long[][] last;
        final long[] next;

        All(World w) {
            this.w = w;
            last = new long[w.n][w.n];
            next = new long[w.n];
        }

        @Override
        public void tick(int me) {
            if (w.now >= next[me]) {
                next[me] = w.now + PERIOD;
                for (int i = 0; i < w.n; i++) {
                    if (i != me) {
                        w.send(me, i, "");
                    }
                }
            }
        }

        @Override
        public void heard(int me, int from, Object message) {
            last[me][from] = w.now;
        }

        @Override
        public boolean dead(int me, int other) {
            return w.now - last[me][other] > 5 * PERIOD;
        }
    }

    /** Heartbeats to the two ring neighbours, who judge by phi over the usual gaps; nobody else is told. */
    static final class Phi implements Way {
        private static final double THRESHOLD_DEVIATIONS = 5.6; // phi 8 of a normal distribution
        final World w;
        final long[][] last;
        final double[][] mean;
        final double[][] square;
        final long[] next;

        Phi(World w) {
            this.w = w;
            last = new long[w.n][w.n];
            mean = new double[w.n][w.n];
            square = new double[w.n][w.n];
            next = new long[w.n];
        }

        @Override
        public void tick(int me) {
            if (w.now >= next[me]) {
                next[me] = w.now + PERIOD;
                w.send(me, (me + 1) % w.n, "");
                w.send(me, (me + w.n - 1) % w.n, "");
            }
        }

        @Override
        public void heard(int me, int from, Object message) {
            if (last[me][from] > 0) {
                double gap = w.now - last[me][from];
                mean[me][from] = mean[me][from] == 0 ? gap : mean[me][from] + (gap - mean[me][from]) / 50;
                square[me][from] += ((gap - mean[me][from]) * (gap - mean[me][from]) - square[me][from]) / 50;
            }
            last[me][from] = w.now;
        }

        @Override
        public boolean dead(int me, int other) {
            boolean neighbour = (me + 1) % w.n == other || (other + 1) % w.n == me;
            double deviation = Math.max(50, Math.sqrt(square[me][other]));
            return neighbour && w.now - last[me][other] > mean[me][other] + THRESHOLD_DEVIATIONS * deviation;
        }
    }

    /** SWIM with suspicion: random probes, three helpers, refutation by the suspect alone, piggybacked claims. */
    static final class Swim implements Way {
        private record Claim(int about, int incarnation, int state) {}

        private record Message(String kind, int about, int by, List<Claim> claims) {}

        final World w;
        final int[][] incarnation;
        final int[][] state; // 0 alive, 1 suspect, 2 dead
        final long[][] until;
        final long[] next;
        final int[] probed;
        final boolean[] acked;
        final boolean[] helped;
        final List<List<Integer>> order = new ArrayList<>();
        final List<Map<Claim, Integer>> news = new ArrayList<>();

        Swim(World w) {
            this.w = w;
            incarnation = new int[w.n][w.n];
            state = new int[w.n][w.n];
            until = new long[w.n][w.n];
            next = new long[w.n];
            probed = new int[w.n];
            acked = new boolean[w.n];
            helped = new boolean[w.n];
            Arrays.fill(probed, -1);
            for (int i = 0; i < w.n; i++) {
                order.add(new ArrayList<>());
                news.add(new HashMap<>());
            }
        }

        private long suspicion() {
            return (long) (4 * Math.max(1, Math.log10(w.n)) * PERIOD);
        }

        private List<Claim> claims(int me) {
            List<Claim> taken = new ArrayList<>();
            news.get(me).entrySet().stream()
                    .sorted(Map.Entry.comparingByValue())
                    .limit(6)
                    .forEach(e -> taken.add(e.getKey()));
            int most = 3 * (32 - Integer.numberOfLeadingZeros(w.n));
            taken.forEach(claim -> news.get(me).compute(claim, (c, told) -> told + 1 >= most ? null : told + 1));
            return taken;
        }

        private void send(int me, int to, String kind, int about, int by) {
            w.send(me, to, new Message(kind, about, by, claims(me)));
        }

        @Override
        public void tick(int me) {
            for (int i = 0; i < w.n; i++) {
                if (state[me][i] == 1 && w.now >= until[me][i]) {
                    take(me, new Claim(i, incarnation[me][i], 2));
                }
            }
            if (probed[me] >= 0 && !acked[me] && !helped[me] && w.now >= next[me] - PERIOD / 2) {
                helped[me] = true;
                for (int k = 0; k < 3; k++) {
                    int helper = w.random.nextInt(w.n);
                    if (helper != me && helper != probed[me]) {
                        send(me, helper, "ask", probed[me], me);
                    }
                }
            }
            if (w.now < next[me]) {
                return;
            }
            if (probed[me] >= 0 && !acked[me] && state[me][probed[me]] == 0) {
                take(me, new Claim(probed[me], incarnation[me][probed[me]], 1));
            }
            next[me] = w.now + PERIOD;
            if (order.get(me).isEmpty()) {
                for (int i = 0; i < w.n; i++) {
                    order.get(me).add(w.random.nextInt(order.get(me).size() + 1), i);
                }
            }
            int target = order.get(me).remove(order.get(me).size() - 1);
            probed[me] = target == me || state[me][target] == 2 ? -1 : target;
            acked[me] = false;
            helped[me] = false;
            if (probed[me] >= 0) {
                send(me, target, "ping", target, me);
            }
        }

        private void take(int me, Claim claim) {
            int about = claim.about;
            if (about == me) {
                if (claim.state > 0 && claim.incarnation >= incarnation[me][me]) {
                    incarnation[me][me] = claim.incarnation + 1;
                    news.get(me).put(new Claim(me, incarnation[me][me], 0), 0);
                }
                return;
            }
            boolean newer = claim.incarnation > incarnation[me][about]
                    || claim.incarnation == incarnation[me][about] && claim.state > state[me][about];
            if (newer) {
                incarnation[me][about] = claim.incarnation;
                state[me][about] = claim.state;
                until[me][about] = w.now + suspicion();
                news.get(me).keySet().removeIf(old -> old.about == about);
                news.get(me).put(claim, 0);
            }
        }

        @Override
        public void heard(int me, int from, Object received) {
            Message m = (Message) received;
            m.claims.forEach(claim -> take(me, claim));
            switch (m.kind) {
                case "ping" -> send(me, from, "ack", me, m.by);
                case "ask" -> send(me, m.about, "ping", m.about, m.by);
                default -> {
                    if (m.by != me) {
                        send(me, m.by, "ack", m.about, m.by);
                    } else if (m.about == probed[me]) {
                        acked[me] = true;
                    }
                }
            }
        }

        @Override
        public boolean dead(int me, int other) {
            return state[me][other] == 2;
        }
    }

    /** Rapid's: ten watchers each, alerts to all, and a change once no member lies between few alerts and most; votes of three quarters. */
    static final class Rapid implements Way {
        private static final int K = 10;
        private static final int HIGH = 9;
        private static final int LOW = 4;

        final World w;
        final int[][] watchers;
        final long[][] last;
        final long[] next;
        final List<Map<Integer, Set<Integer>>> alerts = new ArrayList<>();
        final List<Map<Set<Integer>, Set<Integer>>> votes = new ArrayList<>();
        final List<Set<Integer>> gone = new ArrayList<>();
        final boolean[] voted;

        Rapid(World w) {
            this.w = w;
            watchers = new int[w.n][K];
            last = new long[w.n][w.n];
            next = new long[w.n];
            voted = new boolean[w.n];
            for (int i = 0; i < w.n; i++) {
                for (int k = 0; k < K; k++) {
                    watchers[i][k] = (i + 1 + k * (w.n - 1) / K) % w.n;
                }
                alerts.add(new HashMap<>());
                votes.add(new HashMap<>());
                gone.add(new HashSet<>());
            }
        }

        private void all(int me, Object message) {
            heard(me, me, message);
            for (int i = 0; i < w.n; i++) {
                if (i != me) {
                    w.send(me, i, message);
                }
            }
        }

        @Override
        public void tick(int me) {
            if (w.now < next[me]) {
                return;
            }
            next[me] = w.now + PERIOD;
            for (int k = 0; k < K; k++) {
                w.send(me, watchers[me][k], "");
            }
            for (int i = 0; i < w.n; i++) {
                for (int k = 0; k < K; k++) {
                    if (watchers[i][k] == me
                            && i != me
                            && w.now - last[me][i] > 5 * PERIOD
                            && !gone.get(me).contains(i)) {
                        all(me, new int[] {i, k}); // again each period, as it may be lost
                    }
                }
            }
            propose(me);
        }

        private void propose(int me) {
            Set<Integer> most = new HashSet<>();
            boolean stable = true;
            for (Map.Entry<Integer, Set<Integer>> each : alerts.get(me).entrySet()) {
                int number = each.getValue().size();
                if (number >= HIGH) {
                    most.add(each.getKey());
                } else if (number >= LOW) {
                    stable = false;
                }
            }
            if (stable && !most.isEmpty()) {
                all(me, most);
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void heard(int me, int from, Object message) {
            if (message instanceof int[] alert) {
                if (!gone.get(me).contains(alert[0])) {
                    alerts.get(me)
                            .computeIfAbsent(alert[0], x -> new HashSet<>())
                            .add(alert[1]);
                }
            } else if (message instanceof Set) {
                Set<Integer> change = (Set<Integer>) message;
                Set<Integer> for1 = votes.get(me).computeIfAbsent(change, x -> new HashSet<>());
                for1.add(from);
                if (for1.size() >= (3 * (w.n - gone.get(me).size()) + 3) / 4) {
                    gone.get(me).addAll(change);
                    alerts.get(me).keySet().removeAll(change);
                    votes.get(me).clear();
                }
            } else {
                last[me][from] = w.now;
            }
        }

        @Override
        public boolean dead(int me, int other) {
            return gone.get(me).contains(other);
        }
    }

    private static Way of(String name, World w) {
        return switch (name) {
            case "heartbeats to all" -> new All(w);
            case "phi over ring heartbeats" -> new Phi(w);
            case "SWIM with suspicion" -> new Swim(w);
            default -> new Rapid(w);
        };
    }

    private static World world(String name, int n, long seed, double loss) {
        World w = new World(n, seed);
        w.loss = loss;
        w.begin(of(name, w));
        w.run(6_000);
        return w;
    }

    private static int believers(World w, int of) {
        int believe = 0;
        for (int i = 0; i < w.n; i++) {
            believe += i != of && !w.down[i] && w.way.dead(i, of) ? 1 : 0;
        }
        return believe;
    }

    public static void main(String[] args) {
        int n = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 10;
        System.out.println(
                "| way | datagrams a member and second | half know a death: median s | 99% know: median / most s | wrong deaths a member and hour at 20% lost"
                        + " | the same, a tenth paused | one way cut: believe a death | nothing reaches one: whom it believes dead | 40 of 100 apart: dead in the smaller part's view |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String name : List.of(
                "heartbeats to all", "phi over ring heartbeats", "SWIM with suspicion", "Rapid's watchers and votes")) {
            long before = 0;
            List<Long> half = new ArrayList<>();
            List<Long> nearly = new ArrayList<>();
            double rate = 0;
            for (int seed = 1; seed <= seeds; seed++) {
                World w = world(name, n, seed, 0);
                before = w.sent;
                w.run(10_000);
                rate += (w.sent - before) / 10.0 / n / seeds;
                int dead = w.random.nextInt(n);
                w.down[dead] = true;
                long death = w.now;
                long halfAt = -1;
                while (w.now - death < 20_000 && believers(w, dead) < 0.99 * (n - 1)) {
                    w.run(20);
                    halfAt = halfAt < 0 && believers(w, dead) >= (n - 1) / 2.0 ? w.now - death : halfAt;
                }
                half.add(halfAt < 0 ? 99_000 : halfAt);
                nearly.add(w.now - death >= 20_000 ? 99_000 : w.now - death);
            }
            half.sort(null);
            nearly.sort(null);
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %.0f | %s | %s / %s | %s | %s | %s | %s | %s |%n",
                    name,
                    rate,
                    seconds(half.get(seeds / 2)),
                    seconds(nearly.get(seeds / 2)),
                    seconds(nearly.get(seeds - 1)),
                    wrong(name, n, seeds, 0.2, 0),
                    wrong(name, n, seeds, 0, 0.1),
                    cut(name, n),
                    deaf(name, n),
                    apart(name, n));
        }
    }

    private static String seconds(long millis) {
        return millis >= 99_000 ? "never" : String.format(Locale.ROOT, "%.2f", millis / 1e3);
    }

    /** Each time that some member comes to believe a death that is none. */
    private static String wrong(String name, int n, int seeds, double loss, double paused) {
        long wrong = 0;
        int minutes = 2;
        for (int seed = 1; seed <= seeds; seed++) {
            World w = world(name, n, seed, loss);
            boolean[][] was = new boolean[n][n];
            for (int step = 0; step < minutes * 300; step++) {
                if (paused > 0 && step % 5 == 0) {
                    for (int i = 0; i < n; i++) {
                        w.pause(i, w.random.nextDouble() < paused);
                    }
                }
                w.run(200);
                for (int i = 0; i < n; i++) {
                    for (int j = 0; j < n; j++) {
                        boolean is = i != j && !w.paused[i] && w.way.dead(i, j);
                        wrong += is && !was[i][j] ? 1 : 0;
                        was[i][j] = is;
                    }
                }
            }
        }
        return String.format(Locale.ROOT, "%.1f", wrong / (n * seeds * minutes / 60.0));
    }

    private static String cut(String name, int n) {
        World w = world(name, n, 1, 0);
        w.cuts.add(0L << 32 | 1);
        w.run(20_000);
        return believers(w, 0) + " of " + (n - 1);
    }

    private static String deaf(String name, int n) {
        World w = world(name, n, 1, 0);
        for (int i = 0; i < n; i++) {
            w.cuts.add((long) i << 32);
        }
        w.run(20_000);
        int dead = 0;
        for (int i = 1; i < n; i++) {
            dead += w.way.dead(0, i) ? 1 : 0;
        }
        return dead + " of " + (n - 1);
    }

    private static String apart(String name, int n) {
        World w = world(name, n, 1, 0);
        int fewer = n * 2 / 5;
        for (int i = 0; i < fewer; i++) {
            for (int j = fewer; j < n; j++) {
                w.cuts.add((long) i << 32 | j);
                w.cuts.add((long) j << 32 | i);
            }
        }
        w.run(20_000);
        int dead = 0;
        for (int j = fewer; j < n; j++) {
            dead += w.way.dead(0, j) ? 1 : 0;
        }
        return dead + " of " + (n - fewer);
    }
}
