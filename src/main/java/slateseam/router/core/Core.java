package slateseam.router.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.Cancel;
import slateseam.decision.Api.ClientGone;
import slateseam.decision.Api.CloseIdle;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Fail;
import slateseam.decision.Api.Log;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.Probe;
import slateseam.decision.Api.Refuse;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.Retuned;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.Subscribe;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TimerFired;
import slateseam.decision.Brain;
import slateseam.decision.SupplyLinks;
import slateseam.router.farm.FarmSource;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Hash;
import slateseam.router.net.Loop;
import slateseam.router.net.Slots;
import slateseam.router.pass.PassListener;
import slateseam.router.pass.Passes;
import slateseam.router.peer.Peers;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Front;
import slateseam.router.request.Incoming;
import slateseam.router.request.Intake;
import slateseam.router.request.Request;
import slateseam.router.request.RequestObserver;
import slateseam.router.request.Versions;

/** The requests that are owed an answer. Turns happenings into events and carries out actions; decides nothing. */
public final class Core implements PassListener, Intake {
    /** A request that is owed its final answer. */
    private final class Slot implements Runnable {
        final Request request;
        final Front front;
        final long exchange;
        final long begunAt;
        final long deadline;
        long ticket;
        Deadline overdue;
        int attempts;
        /** Whether its last attempt went to the origin. */
        boolean atOrigin;

        Slot(Request request, Front front, long exchange, long begunAt, long ttlNanos) {
            this.request = request;
            this.front = front;
            this.exchange = exchange;
            this.begunAt = begunAt;
            this.deadline = begunAt + ttlNanos;
        }

        /** Guards the rule that every request gets its answer in time, should the module ever leave one out. */
        @Override
        public void run() {
            loop.log().line("overdue", "the module left a request without an answer");
            giveUp();
        }

        void giveUp() {
            finish(ticket, new Answer.Failed());
            happened(new ClientGone(ticket));
        }

        long openFor(long now) {
            return now - begunAt;
        }

        Ending ending(Answer answer) {
            if (answer instanceof Answer.Served || answer instanceof Answer.Streamed) {
                return request.isWrite() ? Ending.WRITTEN : atOrigin ? Ending.MISS : Ending.HIT;
            }
            return answer instanceof Answer.Unavailable ? Ending.UNAVAILABLE : Ending.FAILED;
        }
    }

    private final Loop loop;
    private final Versions versions;
    private final Brain brain;
    private final Slots<Slot> slots;
    /** What has happened while an event is handled: an action may make something happen at once. */
    private final Queue<Supplier<Event>> happenings = new ArrayDeque<>();
    /** That answer the event being handled. */
    private final List<Action> actions = new ArrayList<>();

    private final Consumer<Action> collect = actions::add;
    private final List<RequestObserver> observers = new ArrayList<>();
    private BooleanSupplier mayServe = () -> true;
    private boolean handling;
    /** When this process may be killed: every answer is out before that. */
    private long answersBy = Long.MAX_VALUE;
    /** Of values to be written, so that they cannot fill the heap. */
    private final long mostHeldBytes;

    private long heldBytes;
    /** Long answers on their way to user agents. */
    private int streams;

    private Passes passes;
    private Peers peers;
    private FarmSource source;

    /** Creates the core of a router that holds at most so many requests. */
    public Core(Loop loop, Versions versions, long seed, int mostHeld) {
        this(loop, versions, seed, mostHeld, SupplyLinks.OFF);
    }

    /** The same of one that exchanges supply beyond its ring neighbours. */
    public Core(Loop loop, Versions versions, long seed, int mostHeld, SupplyLinks links) {
        this.loop = loop;
        this.versions = versions;
        this.brain = new Brain(versions.current().settings(), seed, links);
        this.slots = new Slots<>(mostHeld);
        this.mostHeldBytes = loop.heapBytes() / 8;
    }

    /** Begins, with those who carry actions out; {@code peers} is null where routers do not talk. */
    public void start(Passes passes, Peers peers, FarmSource source) {
        this.passes = passes;
        this.peers = peers;
        this.source = source;
        happened(new Started());
    }

    /** Requests are turned away at once, with a time to come back, while this says no. */
    public void gate(BooleanSupplier may) {
        mayServe = may;
    }

    /**
     * Every answer is out by then: what comes from now on has no more time than that, and what came before is given up then.
     * Guards what a process that is told to end still takes: it is killed a while later.
     */
    public void answerBy(long at) {
        answersBy = at;
        loop.after(at - loop.now(), () -> slots.all().forEach(Slot::giveUp));
    }

    /** Tells an observer of each request that ends from now on. */
    public void observe(RequestObserver observer) {
        observers.add(observer);
    }

    /** Other settings are in force: what comes from now on comes with them. */
    public void retune(Settings settings) {
        happened(new Retuned(versions.adopt(settings).settings()));
    }

    /** Other routers are talked to by this from now on; null for not at all. */
    public void talk(Peers by) {
        peers = by;
    }

    /** How many requests were taken and have not ended. */
    public int open() {
        return slots.size() + streams;
    }

    /** How many listed caches get nothing now. */
    public int avoided() {
        return brain.avoided();
    }

    /** Something happened that concerns no request. */
    public void happened(Event event) {
        if (handling) {
            happenings.add(() -> event);
        } else {
            handle(event);
        }
    }

    @Override
    public long arrived(Request request, Front front, long exchange) {
        long now = loop.now();
        long ttl = Math.min(request.ttlNanos(), answersBy - now);
        boolean ended = answersBy <= now;
        if (!mayServe.getAsBoolean() || slots.isFull() || ended || heldBytes + request.valueBytes() > mostHeldBytes) {
            front.answer(
                    exchange,
                    new Answer.Unavailable(request.version().settings().limits().maxRetryAfterNanos()));
            tell(request, Ending.UNAVAILABLE, 0);
            return -1;
        }
        Slot slot = new Slot(request, front, exchange, now, ttl);
        long ticket = slots.add(slot);
        slot.ticket = ticket;
        heldBytes += request.valueBytes();
        versions.begun(request.requestClass());
        slot.overdue = loop.after(ttl + request.version().settings().rules().answerSlackNanos(), slot);
        happened(new RequestArrived(
                ticket,
                Hash.of(request.key()),
                request.tenant(),
                request.type(),
                request.isWrite(),
                request.repeated(),
                0,
                ttl));
        return ticket;
    }

    @Override
    public void withdrawn(long ticket, Ending why) {
        Slot slot = release(ticket);
        if (slot != null) {
            happened(new ClientGone(ticket));
            ended(slot, why);
        }
    }

    @Override
    public void passEnded(
            long ticket,
            int attempt,
            long server,
            Outcome outcome,
            boolean fetching,
            Answer served,
            long durationNanos) {
        if (outcome == Outcome.OK) {
            if (served instanceof Answer.Streamed streamed && slots.get(ticket) == null) {
                streamed.value().stop();
            }
            finish(ticket, served);
        }
        if (handling) {
            happenings.add(() -> attemptEnded(ticket, attempt, server, outcome, fetching, durationNanos));
        } else {
            handle(attemptEnded(ticket, attempt, server, outcome, fetching, durationNanos));
        }
    }

    /** Made when it is handled: whether the request has its answer by then is a part of it. */
    private AttemptEnded attemptEnded(
            long ticket, int attempt, long server, Outcome outcome, boolean fetching, long durationNanos) {
        return new AttemptEnded(ticket, server, attempt, outcome, fetching, slots.get(ticket) == null, durationNanos);
    }

    private void handle(Event first) {
        handling = true;
        try {
            Event event = first;
            while (event != null) {
                actions.clear();
                brain.handle(loop.now(), event, collect);
                for (Action action : actions) {
                    carryOut(action);
                }
                Supplier<Event> next = happenings.poll();
                event = next == null ? null : next.get();
            }
        } finally {
            handling = false;
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Cancel a) {
            passes.cancel(a.request(), a.attempt());
        } else if (action instanceof Refuse a) {
            finish(a.request(), new Answer.Unavailable(a.retryAfterNanos()));
        } else if (action instanceof Fail a) {
            finish(a.request(), new Answer.Failed());
        } else if (action instanceof SetTimer a) {
            loop.after(a.delayNanos(), () -> happened(new TimerFired(a.tag())));
        } else if (action instanceof Probe a) {
            passes.probe(a.member());
        } else if (action instanceof CloseIdle a) {
            passes.closeIdle(a.member());
        } else if (action instanceof TellPeer a && peers != null) {
            peers.send(a.to(), a.payload());
        } else if (action instanceof Subscribe) {
            source.begin();
        } else if (action instanceof Log a) {
            loop.log().line("module", a.text());
        }
    }

    private void send(Send send) {
        Slot slot = slots.get(send.request());
        // Counted even if it cannot be made: the module numbers attempts by what it has asked for.
        int attempt = slot == null ? 0 : slot.attempts++;
        long left = slot == null ? 0 : slot.deadline - loop.now();
        if (left <= 0 || attempt >= slot.request.version().settings().limits().attempts()) {
            passEnded(send.request(), attempt, send.member(), Outcome.MOOT, false, null, 0);
            return;
        }
        slot.atOrigin = passes.isOrigin(send.member());
        long timeout = send.timeoutNanos() == 0 ? left : Math.min(left, send.timeoutNanos());
        passes.begin(send.request(), slot.request, attempt, send.member(), timeout, send.sentByNanos());
    }

    private void finish(long ticket, Answer answer) {
        Slot slot = release(ticket);
        if (slot != null && answer instanceof Answer.Streamed streamed) {
            streams++;
            Incoming value =
                    new ObservedStream(streamed.value(), slot.ending(answer), ending -> streamEnded(slot, ending));
            slot.front.answer(slot.exchange, new Answer.Streamed(value));
        } else if (slot != null) {
            slot.front.answer(slot.exchange, answer);
            ended(slot, slot.ending(answer));
        }
    }

    private void streamEnded(Slot slot, Ending ending) {
        streams--;
        ended(slot, ending);
    }

    /** Nothing more comes of a request. Its class stays in the settings until then, as it is told by its slot there. */
    private void ended(Slot slot, Ending ending) {
        tell(slot.request, ending, slot.openFor(loop.now()));
        versions.ended(slot.request.requestClass());
    }

    /** Guards requests against the features that watch them: those come last, and a fault of theirs ends here. */
    private void tell(Request request, Ending ending, long nanos) {
        for (RequestObserver observer : observers) {
            try {
                observer.ended(request.requestClass(), request.tenant(), request.key(), ending, nanos);
            } catch (RuntimeException e) {
                loop.log().line("internal-error", "a feature could not take a request's end: " + e);
            }
        }
    }

    private Slot release(long ticket) {
        Slot slot = slots.remove(ticket);
        if (slot != null) {
            loop.cancel(slot.overdue);
            passes.answered(ticket);
            heldBytes -= slot.request.valueBytes();
        }
        return slot;
    }
}
