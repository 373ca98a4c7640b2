package slateseam.router.warmup;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.TimerFired;
import slateseam.decision.Brain;
import slateseam.router.connections.servers.Bounds;
import slateseam.router.connections.servers.Order;
import slateseam.router.connections.servers.Pool;
import slateseam.router.connections.servers.ServerConnections;
import slateseam.router.connections.servers.Use;
import slateseam.router.connections.useragents.Cause;
import slateseam.router.connections.useragents.Kept;
import slateseam.router.connections.useragents.Phase;
import slateseam.router.connections.useragents.UserAgentRoom;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.net.Hash;
import slateseam.router.net.HttpReply;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Facts;
import slateseam.router.request.Front;
import slateseam.router.request.Intake;
import slateseam.router.request.Request;
import slateseam.router.request.Versions;
import slateseam.router.useragent.Commands;
import slateseam.router.useragent.Exchange;
import slateseam.router.useragent.Requests;

/** Made-up requests, one round after another until there were enough or the time for it is over. */
public final class WarmUp {
    private static final int ROUNDS = 1_500;
    private static final int SERVERS = 12;
    private static final int HELD = 64;
    /** A round stands for so long: the module's housekeeping is due then. */
    private static final long STEP = 10 * Clock.MILLI;
    /** The round's own requests are answered so long after they came. */
    private static final long TOOK = 5 * Clock.MILLI;
    /** A connection that has room for each answer and sends none. */
    private static final Exchange.Pipeline PIPELINE = new Exchange.Pipeline() {
        @Override
        public void answered() {}

        @Override
        public boolean reserve(Exchange of, long bytes) {
            return true;
        }

        @Override
        public boolean isPresent() {
            return true;
        }
    };

    private final Brain brain;
    private final Commands commands;
    private final Requests requests;
    private final ServerConnections connections = new ServerConnections(new Bounds(HELD, 1_000 * STEP, 1, false));
    private final List<Pool> pools = new ArrayList<>();
    private final UserAgentRoom room = new UserAgentRoom(HELD, HELD);
    private final List<Action> actions = new ArrayList<>();
    private final Consumer<Action> collect = actions::add;
    private final Settings settings;
    private Request asked;
    private long exchange;
    private long now = STEP;
    private int served;

    /** Creates it for the settings of a router. */
    public WarmUp(Settings settings) {
        this.settings = settings;
        brain = new Brain(settings, 1);
        requests = new Requests(
                new Intake() {
                    @Override
                    public long arrived(Request request, Front front, long number) {
                        asked = request;
                        exchange = number;
                        return number;
                    }

                    @Override
                    public void withdrawn(long ticket, Ending why, Runnable released) {
                        released.run();
                        asked = null;
                    }
                },
                new Versions(settings),
                HELD);
        commands = new Commands(requests, new Lifecycle());
        for (int i = 0; i < SERVERS; i++) {
            pools.add(connections.add(true, true));
        }
    }

    /** Plays until there were enough rounds or the time is over; returns how many requests were served. */
    public int play(Clock clock, long mostNanos) {
        long end = clock.nanos() + mostNanos;
        on(new Started());
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            members.add(new Member(Hash.of(Bytes.of("server" + i)) >>> 1, 0, 0, 0, MemberState.READY, 1, 0));
        }
        members.add(new Member(1, 0, Math.max(0, settings.originKind()), 0, MemberState.READY, 1, 0));
        on(new MembersChanged(ListKind.FULL, members));
        Kept kept = room.opened(this, "address", 0, now);
        try {
            for (int i = 0; i < ROUNDS && clock.nanos() < end; i++) {
                now += STEP;
                request(i);
                carry(pools.get(i % SERVERS));
                room.enters(kept, Phase.BUSY, now);
                room.asksFor(kept, i % Math.max(1, settings.tenants().size()));
                room.enters(kept, Phase.IDLE, now);
                on(new TimerFired(1));
            }
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
        room.closed(kept, Cause.LEFT, now);
        return served;
    }

    private void on(Event event) {
        actions.clear();
        brain.handle(now, event, collect);
    }

    /** A read, from its bytes to the bytes of its answer: a hit, or a miss that the origin serves. */
    private void request(int number) throws MalformedException {
        String facts = "c=" + settings.classes().get(0).name() + ",t=acme,d=480";
        String key = "key" + number % 100;
        String id = "id" + number;
        List<ByteBuffer> command =
                Resp.command(ByteBuffer.wrap(Bytes.of("*4\r\n$9\r\nCACHE.GET\r\n$" + key.length() + "\r\n" + key
                        + "\r\n$" + id.length() + "\r\n" + id + "\r\n$" + facts.length() + "\r\n" + facts + "\r\n")));
        Exchange open = commands.exchange(PIPELINE);
        asked = null;
        open.take(command);
        if (asked == null) {
            return;
        }
        Facts.withTimeLeft(asked.facts(), number);
        Resp.reply(ByteBuffer.wrap(Bytes.of("*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n")), 2);
        HttpReply.read(
                ByteBuffer.wrap(Bytes.of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Backend-Load: x=1\r\n\r\nvalue")));
        on(new RequestArrived(
                number, Hash.of(asked.key()), asked.tenant(), asked.type(), false, false, 0, asked.ttlNanos()));
        for (int attempt = 0; attempt < settings.limits().attempts(); attempt++) {
            Send send = null;
            for (Action action : actions) {
                send = action instanceof Send s ? s : send;
            }
            if (send == null) {
                break;
            }
            boolean hit = attempt > 0 || number % 4 > 0;
            on(new AttemptEnded(number, send.member(), attempt, hit ? Outcome.OK : Outcome.MISS, false, hit, TOOK));
            served += hit ? 1 : 0;
        }
        requests.answer(exchange, new Answer.Served(Bytes.of("value")));
    }

    private static final class OneUse extends Use {
        OneUse(Pool pool, long endsAt) {
            super(pool, endsAt, true);
        }
    }

    /** One use of a connection to a server, which is opened if there is none. */
    private void carry(Pool pool) {
        connections.ask(now, new OneUse(pool, now + 1_000 * STEP));
        for (Order order; (order = connections.next()) != null; ) {
            if (order instanceof Order.Open open) {
                connections.up(now, open.link());
            } else if (order instanceof Order.Carry carried) {
                carried.use().begin();
                carried.use().markWritten();
                connections.trust(now, carried.link());
                connections.answered(now + TOOK, carried.link(), true, false);
            }
        }
    }
}
