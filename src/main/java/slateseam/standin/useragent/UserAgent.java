package slateseam.standin.useragent;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import slateseam.standin.Clockwork;
import slateseam.standin.ValueFigures;
import slateseam.standin.useragent.Outcomes.Ending;

/**
 * One process that behaves: it asks what it drew ahead, keeps connections, waits as long as it says, and asks again
 * only what may be asked again. Requests that find no connection free, and may open none, wait in order until their
 * time is over; there are never more of them than arrive in the longest deadline.
 */
public final class UserAgent {
    /** Numbers of a surge's arrivals begin at multiples of this. */
    private static final int SURGE_NUMBERS = 1_000_000;

    private static final int SIZE = 2;
    private static final int LEAVES = 3;
    private static final int LEAVES_WHEN = 4;
    private static final int WAIT = 32;
    private static final int MOST_DOUBLINGS = 6;
    private static final long MILLI = 1_000_000L;
    private static final long JUST_NOW_NANOS = 10 * MILLI;

    private final UserAgentFigures figures;
    private final Surroundings at;
    private final Entry entry;
    private final UniformRandomProvider random;
    private final Clockwork clock;
    private final Habits habits;
    /** Connections that are free, to whatever router they were dealt; the one that was used last is used first. */
    private final Deque<Channel> free = new ArrayDeque<>();

    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private int open;
    /** The attempt that was written last. */
    private Attempt last;

    /** Creates a process. Its router is the one beside it, or else dealt out by the entry. */
    public UserAgent(UserAgentFigures figures, Surroundings at, Entry entry, UniformRandomProvider random) {
        this.figures = figures;
        this.at = at;
        this.entry = figures.router() == null ? entry : figures::router;
        this.random = random;
        this.clock = at.clock();
        this.habits = at.habits();
    }

    /** Begins to ask. */
    public void start() {
        long salt = random.nextLong();
        follow(new Arrivals(figures, at, random));
        int number = 0;
        for (RateFigures.Surge surge : at.rate().surges()) {
            number += SURGE_NUMBERS;
            if (surge.factor() > 1) {
                long seed = Mix.of(salt, surge.from());
                follow(new Arrivals(
                        figures,
                        at,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, Mix.of(seed)}),
                        surge,
                        number));
            }
        }
    }

    private void follow(Arrivals arrivals) {
        Request next = arrivals.next();
        if (next != null) {
            clock.at(next.asked(), () -> {
                follow(arrivals);
                ask(next);
            });
        }
    }

    /** The name of the process. */
    public String name() {
        return figures.name();
    }

    /** The id of a request of its own that went out just now, so that its router has it open; null if none did. */
    String openId() {
        return last != null && last.isOut() && clock.now() - last.sentAt <= JUST_NOW_NANOS ? last.id : null;
    }

    UserAgentFigures figures() {
        return figures;
    }

    Surroundings surroundings() {
        return at;
    }

    /** Asks a request now; it must be this process's own. */
    void ask(Request request) {
        at.outcomes().asked(request);
        new Asking(request).attempt();
    }

    /** How long the value of a request is. */
    private byte[] value(Request request) {
        ValueFigures values = at.values();
        double size = values.medianBytes() * StrictMath.exp(values.sigma() * Mix.gaussian(request.seed(), SIZE));
        return Command.value(request.key() + " ", (int) Math.max(1, Math.min(values.mostBytes(), size)));
    }

    /** A request until it has ended. */
    private final class Asking {
        final Request request;
        private int attempts;
        /** When a try of it was first written; 0 before. */
        private long written;

        private boolean over;
        private Attempt current;

        Asking(Request request) {
            this.request = request;
            if (Mix.share(request.seed(), LEAVES) < habits.leaving()) {
                long patience = (long) (request.kind().deadlineNanos() * habits.patience());
                clock.at(request.asked() + (long) (patience * Mix.share(request.seed(), LEAVES_WHEN)), this::leave);
            }
        }

        void attempt() {
            if (!over) {
                current = new Attempt(this, attempts++);
                current.begin();
            }
        }

        private void leave() {
            if (!over) {
                end(Ending.LEFT);
                current.giveUp(true);
            }
        }

        void end(Ending ending) {
            over = true;
            at.outcomes().ended(request, ending, clock.now());
        }

        /** A try ended without success; the request is asked again if it may be and there is time. */
        void failed(Ending ending, long comeBackNanos) {
            if (over) {
                return;
            }
            ClassFigures kind = request.kind();
            long now = clock.now();
            // An unavailable answer and a connection that never came up both mean that nothing ran.
            boolean harmless = ending == Ending.UNAVAILABLE || ending == Ending.UNREACHABLE;
            boolean may = harmless || kind.mayRepeat();
            long wait = !habits.retriesAtOnce() ? ownWait() : 0;
            if (comeBackNanos > 0 && figures.heeds()) {
                wait = Math.min(comeBackNanos, habits.mostHeededNanos());
            }
            long next = now + wait;
            boolean inWindow =
                    kind.effect() != ClassFigures.Effect.KEYED || written == 0 || next < written + kind.windowNanos();
            if (may && inWindow && attempts <= habits.retries() && next < request.deadline()) {
                clock.at(next, this::attempt);
            } else {
                end(ending);
            }
        }

        private long ownWait() {
            int doublings = Math.min(MOST_DOUBLINGS, attempts - 1);
            return (long)
                    (habits.waitNanos() * (1 << doublings) * (1 + Mix.share(request.seed(), WAIT + attempts) / 2));
        }
    }

    /** One try of a request. */
    final class Attempt {
        private final Asking asking;
        private final int number;
        final String id;
        /** When it is given up, as the router is told. */
        private final long end;

        private Channel channel;
        private boolean over;
        private boolean sent;
        private long sentAt;
        private boolean again;

        private Attempt(Asking asking, int number) {
            this.asking = asking;
            this.number = number;
            this.id = asking.request.id(number);
            this.end = Math.min(
                    asking.request.deadline(),
                    clock.now() + (long) (asking.request.kind().deadlineNanos() * habits.patience()));
        }

        boolean isOut() {
            return sent && !over;
        }

        private void begin() {
            clock.at(end, this::timeIsOver);
            connect();
        }

        /** Finds a connection, opens one, or waits for one. */
        private void connect() {
            // Not for what a close has crossed: a further old connection may be about to close as well.
            Channel idle = again ? null : free.pollLast();
            if (idle != null) {
                idle.carry(this);
            } else if (open >= habits.mostConnections()) {
                waiting.add(this);
            } else {
                String router = entry.router();
                if (router == null) {
                    unreachable();
                } else {
                    open++;
                    new Channel(UserAgent.this, router).open(this);
                }
            }
        }

        /** The bytes of the command; from now on it is out. */
        byte[] command(Channel on) {
            channel = on;
            sent = true;
            last = this;
            long now = clock.now();
            sentAt = now;
            Request request = asking.request;
            ClassFigures kind = request.kind();
            if (asking.written == 0) {
                asking.written = now;
            }
            StringBuilder facts = new StringBuilder(64).append("c=").append(kind.name());
            if (request.tenant() != null) {
                facts.append(",t=").append(request.tenant().name());
            }
            facts.append(",d=").append(Math.max(1, (end - now) / MILLI));
            if (request.token() != null) {
                facts.append(",k=").append(request.token());
            }
            if (number > 0 && habits.marks()) {
                facts.append(",r=1");
            }
            at.outcomes().tried(request, id, on.router(), now, again);
            return kind.write()
                    ? Command.set(request.key(), id, facts.toString(), value(request))
                    : Command.get(request.key(), id, facts.toString());
        }

        boolean isOver() {
            return over;
        }

        private void timeIsOver() {
            if (over) {
                return;
            }
            if (sent) {
                clock.at(end + habits.graceNanos(), () -> giveUp(false));
            } else {
                unreachable();
            }
        }

        /** Waits no longer: the time and the grace are over, or the user agent leaves. */
        private void giveUp(boolean leaving) {
            if (over) {
                return;
            }
            over = true;
            if (channel != null) {
                channel.giveUp(!leaving && habits.waitsForLate(), (asking.request.seed() & 1) == 0);
            }
            waiting.remove(this);
            asking.failed(Ending.GIVEN_UP, 0);
        }

        /** No connection came up, or nothing was sent on it. */
        void unreachable() {
            if (!over) {
                over = true;
                waiting.remove(this);
                asking.failed(Ending.UNREACHABLE, 0);
            }
        }

        /** The connection went while it was out; crossed if the router had ended it before it can have read this. */
        void lost(boolean crossed) {
            if (over) {
                return;
            }
            channel = null;
            if (crossed && !again && clock.now() < end) {
                again = true;
                sent = false;
                connect();
            } else {
                over = true;
                asking.failed(Ending.BROKEN, 0);
            }
        }

        /** Takes the answer, which may come after it was given up. */
        void answered(Answer answer) {
            at.outcomes().answered(asking.request, id, answer, clock.now());
            if (over) {
                return;
            }
            over = true;
            switch (answer.kind()) {
                case SERVED -> {
                    if (!asking.over) {
                        asking.end(Ending.SERVED);
                    }
                }
                case UNAVAILABLE -> asking.failed(Ending.UNAVAILABLE, answer.comeBackNanos());
                default -> asking.failed(Ending.FAILED, 0);
            }
        }
    }

    /** A connection is free again: what waits longest takes it. */
    void freed(Channel channel) {
        Attempt next = waiting.poll();
        if (next != null) {
            channel.carry(next);
        } else {
            free.addLast(channel);
        }
    }

    /** A connection is gone, or left open and not used again: what waits longest may open another. */
    void closed(Channel channel) {
        free.remove(channel);
        open--;
        Attempt next = waiting.poll();
        if (next != null) {
            next.connect();
        }
    }

    void unasked(Channel channel) {
        at.outcomes().unasked(figures.name(), channel.router(), clock.now());
    }

    Clockwork clock() {
        return clock;
    }
}
