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
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Fail;
import slateseam.decision.Api.Log;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.Probe;
import slateseam.decision.Api.Refuse;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.RequestClass;
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

/**
 * Holds the requests that still await their final answer. Translates what happens in the router into events for the
 * decision module and carries out the actions that the module returns; the core itself makes no decision.
 */
public final class Core implements PassListener, Intake {
    /** A request that awaits its final answer. */
    private final class Slot implements Runnable {
        final Request request;
        final Front front;
        final long exchange;
        final long arrivedAt;
        final long deadline;
        long ticket;
        Deadline overdueTimer;
        int attempts;
        /** Whether the latest attempt of this request went to the origin. */
        boolean atOrigin;

        Slot(Request request, Front front, long exchange, long arrivedAt, long ttlNanos) {
            this.request = request;
            this.front = front;
            this.exchange = exchange;
            this.arrivedAt = arrivedAt;
            this.deadline = arrivedAt + ttlNanos;
        }

        /**
         * Fails the request when its answer is overdue, so that a fault of the module cannot leave a request
         * unanswered.
         */
        @Override
        public void run() {
            loop.log().line("overdue", "the decision module left a request without an answer; the request fails");
            fail();
        }

        void fail() {
            finish(ticket, new Answer.Failed());
            happened(new ClientGone(ticket));
        }

        /**
         * Ends the request, if it is still open, because its user agent may have left. It is refused if it cannot have
         * had an effect, and fails otherwise.
         *
         * @param attempts the number of attempts that have been made
         */
        void decline(int attempts) {
            boolean isHarmless = attempts == 0 || requestClass().effect() == Effect.PURE;
            long retryAfterNanos = request.version().settings().limits().maxRetryAfterNanos();
            finish(ticket, isHarmless ? new Answer.Unavailable(retryAfterNanos) : new Answer.Failed());
            happened(new ClientGone(ticket));
        }

        RequestClass requestClass() {
            return request.version().type(request.type());
        }

        long ageNanos(long now) {
            return now - arrivedAt;
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
    /** Events that arose while another event was being handled: an action may cause a further event immediately. */
    private final Queue<Supplier<Event>> pendingEvents = new ArrayDeque<>();
    /** The actions that the module returned for the event being handled. */
    private final List<Action> actions = new ArrayList<>();

    private final Consumer<Action> collectAction = actions::add;
    private final List<RequestObserver> observers = new ArrayList<>();
    private BooleanSupplier mayServe = () -> true;
    private boolean handling;
    /**
     * The time on the loop's clock, in nanoseconds, by which every answer must be sent; the process may be killed
     * after it.
     */
    private long answersDueAt = Long.MAX_VALUE;
    /** The maximum total size of the values of open writes, so that they cannot fill the heap. */
    private final long mostHeldBytes;

    private long heldBytes;
    /** The number of streamed answers that are still being sent to user agents. */
    private int openStreams;

    private Passes passes;
    private Peers peers;
    private FarmSource source;

    /**
     * Creates the core of a router that exchanges supply with its ring neighbours only.
     *
     * @param maxRequests the maximum number of requests that are open at once
     */
    public Core(Loop loop, Versions versions, long seed, int maxRequests) {
        this(loop, versions, seed, maxRequests, SupplyLinks.OFF);
    }

    /**
     * Creates the core of a router that may also exchange supply beyond its ring neighbours.
     *
     * @param maxRequests the maximum number of requests that are open at once
     * @param links the routers with which supply is exchanged in addition to the ring neighbours
     */
    public Core(Loop loop, Versions versions, long seed, int maxRequests, SupplyLinks links) {
        this.loop = loop;
        this.versions = versions;
        this.brain = new Brain(versions.current().settings(), seed, links);
        this.slots = new Slots<>(maxRequests);
        this.mostHeldBytes = loop.heapBytes() / 8;
    }

    /**
     * Starts the decision module.
     *
     * @param passes carries out the attempts at servers
     * @param peers sends messages to other routers; null if this router exchanges none
     * @param source reports the members of the farm
     */
    public void start(Passes passes, Peers peers, FarmSource source) {
        this.passes = passes;
        this.peers = peers;
        this.source = source;
        happened(new Started());
    }

    /** Sets a check; while it returns false, each new request is refused at once with a retry-after time. */
    public void setServingCheck(BooleanSupplier check) {
        mayServe = check;
    }

    /**
     * Sets the time by which every answer is sent. Requests that arrive from now on get a deadline no later than that
     * time, and requests that are still open then fail. A process that has been told to end still accepts requests,
     * and it is killed some time later; without this limit such requests would be left without an answer. May be called
     * again with an earlier time.
     *
     * @param at the time on the loop's clock, in nanoseconds
     * @param latest the same for requests that arrived with a later deadline, under settings no longer in force
     */
    public void endAnswersBy(long at, long latest) {
        answersDueAt = at;
        loop.after(at - loop.now(), () -> failRequestsDueBy(at));
        loop.after(latest - loop.now(), () -> failRequestsDueBy(Long.MAX_VALUE));
    }

    private void failRequestsDueBy(long at) {
        slots.all().stream().filter(slot -> slot.deadline <= at).forEach(Slot::fail);
    }

    /** Adds an observer, which is notified of each request that ends from now on. */
    public void observe(RequestObserver observer) {
        observers.add(observer);
    }

    /** Puts new settings into force; requests that arrive from now on use them. */
    public void retune(Settings settings) {
        happened(new Retuned(versions.adopt(settings).settings()));
    }

    /** Sets what sends messages to other routers from now on; null to send none. */
    public void setPeers(Peers changed) {
        peers = changed;
    }

    /** Returns the number of requests that were accepted and have not ended, including streamed answers. */
    public int open() {
        return slots.size() + openStreams;
    }

    /** Returns the number of listed application servers to which no requests are sent at present. */
    public int serversWithoutRequests() {
        return brain.avoided();
    }

    /** Passes an event to the decision module, after the event that is being handled, if any. */
    public void happened(Event event) {
        if (handling) {
            pendingEvents.add(() -> event);
        } else {
            handle(event);
        }
    }

    @Override
    public long arrived(Request request, Front front, long exchange) {
        long now = loop.now();
        long ttl = Math.min(request.ttlNanos(), answersDueAt - now);
        boolean ended = answersDueAt <= now;
        boolean fits = heldBytes + request.valueBytes() <= mostHeldBytes
                && loop.memory().hasRoom(0);
        if (!mayServe.getAsBoolean() || slots.isFull() || ended || !fits) {
            front.answer(
                    exchange,
                    new Answer.Unavailable(request.version().settings().limits().maxRetryAfterNanos()));
            notifyObservers(request, Ending.UNAVAILABLE, 0);
            return -1;
        }
        Slot slot = new Slot(request, front, exchange, now, ttl);
        long ticket = slots.add(slot);
        slot.ticket = ticket;
        heldBytes += request.valueBytes();
        versions.requestStarted(request.requestClass());
        slot.overdueTimer =
                loop.after(ttl + request.version().settings().rules().answerSlackNanos(), slot);
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
    public void withdrawn(long ticket, Ending why, Runnable released) {
        Slot slot = release(ticket);
        boolean mayStillRun =
                slot != null && slot.attempts > 0 && slot.requestClass().effect() != Effect.PURE;
        if (mayStillRun) {
            loop.after(slot.deadline - loop.now(), released);
        } else {
            released.run();
        }
        if (slot != null) {
            happened(new ClientGone(ticket));
            requestEnded(slot, why);
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
                streamed.value().stop(Ending.LEFT);
            }
            finish(ticket, served);
        }
        if (handling) {
            pendingEvents.add(() -> attemptEnded(ticket, attempt, server, outcome, fetching, durationNanos));
        } else {
            handle(attemptEnded(ticket, attempt, server, outcome, fetching, durationNanos));
        }
    }

    /**
     * Creates the event at the time it is handled, because it states whether the request has been answered by then.
     */
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
                brain.handle(loop.now(), event, collectAction);
                for (Action action : actions) {
                    execute(action);
                }
                Supplier<Event> next = pendingEvents.poll();
                event = next == null ? null : next.get();
            }
        } finally {
            handling = false;
        }
    }

    private void execute(Action action) {
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
        // Counted even if the attempt cannot be made, as the module numbers the attempts that it has asked for.
        int attempt = slot == null ? 0 : slot.attempts++;
        if (slot != null && isUserAgentMissed(slot)) {
            slot.decline(attempt);
            slot = null;
        }
        long remainingNanos = slot == null ? 0 : slot.deadline - loop.now();
        if (remainingNanos <= 0
                || attempt >= slot.request.version().settings().limits().attempts()) {
            passEnded(send.request(), attempt, send.member(), Outcome.MOOT, false, null, 0);
            return;
        }
        slot.atOrigin = passes.isOrigin(send.member());
        long timeout = send.timeoutNanos() == 0 ? remainingNanos : Math.min(remainingNanos, send.timeoutNanos());
        passes.begin(send.request(), slot.request, attempt, send.member(), timeout, send.sentByNanos(), slot.deadline);
    }

    /**
     * Looks for the user agent before an attempt that does not begin with its command: its end may have come since, and
     * may not have been handled yet.
     */
    private boolean isUserAgentMissed(Slot slot) {
        return loop.now() > slot.arrivedAt && !slot.front.isPresent(slot.exchange);
    }

    private void finish(long ticket, Answer answer) {
        Slot slot = release(ticket);
        if (slot != null && answer instanceof Answer.Streamed streamed) {
            openStreams++;
            Incoming value =
                    new ObservedStream(streamed.value(), slot.ending(answer), ending -> streamEnded(slot, ending));
            slot.front.answer(slot.exchange, new Answer.Streamed(value));
        } else if (slot != null) {
            Answer given = slot.front.answer(slot.exchange, answer);
            requestEnded(slot, slot.ending(given));
        }
    }

    private void streamEnded(Slot slot, Ending ending) {
        openStreams--;
        requestEnded(slot, ending);
    }

    /** Reports that a request has ended, and releases its class, whose slot stays reserved until then. */
    private void requestEnded(Slot slot, Ending ending) {
        notifyObservers(slot.request, ending, slot.ageNanos(loop.now()));
        versions.requestEnded(slot.request.requestClass());
    }

    /** Notifies the observers. An exception of an observer is logged here, so that it cannot affect requests. */
    private void notifyObservers(Request request, Ending ending, long nanos) {
        for (RequestObserver observer : observers) {
            try {
                observer.ended(request.requestClass(), request.tenant(), request.key(), ending, nanos);
            } catch (RuntimeException e) {
                loop.log().line("internal-error", "an observer failed on the end of a request: " + e);
            }
        }
    }

    private Slot release(long ticket) {
        Slot slot = slots.remove(ticket);
        if (slot != null) {
            loop.cancel(slot.overdueTimer);
            passes.answered(ticket);
            heldBytes -= slot.request.valueBytes();
        }
        return slot;
    }
}
