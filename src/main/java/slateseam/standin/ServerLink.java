package slateseam.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A router's connection to an application server. */
final class ServerLink extends Link {
    private final ApplicationServer server;
    private final CommandReader reader = new CommandReader(inbox);
    /** What came whole while the connection was still being set up. */
    private final List<Runnable> early = new ArrayList<>();

    private boolean ready;
    private boolean surplus;

    ServerLink(ApplicationServer server, Wire wire) {
        super(server, wire, server.figures().connections().requests());
        this.server = server;
    }

    @Override
    void admitted() {
        surplus = server.isSurplus();
        if (!surplus) {
            server.handshake(this);
        }
    }

    void ready() {
        ready = true;
        List<Runnable> begun = new ArrayList<>(early);
        early.clear();
        for (Runnable enter : begun) {
            if (isOpen()) {
                enter.run();
            }
        }
    }

    @Override
    protected Exchange next() throws UnreadableException {
        List<byte[]> command = reader.next();
        if (command == null) {
            return null;
        }
        String name = Answers.latin(command.get(0)).toUpperCase(Locale.ROOT);
        return switch (name) {
            case "CACHE.GET", "CACHE.SET" -> request(command, name.equals("CACHE.SET"));
            case "PING" -> probe(Answers.line("+PONG"));
            case "INFO" -> info(command);
            case "CLIENT", "SELECT" -> new Simple(this, surplus, Answers.line("+OK"));
            default -> new Simple(this, surplus, Answers.line("-ERR unknown command"));
        };
    }

    private Exchange request(List<byte[]> command, boolean write) {
        try {
            if (command.size() != (write ? 5 : 4)) {
                throw new UnreadableException("too few or too many parts");
            }
            return new ServerRequest(
                    server,
                    this,
                    surplus,
                    RequestFacts.visible(command.get(1)),
                    RequestFacts.visible(command.get(2)),
                    RequestFacts.of(RequestFacts.visible(command.get(3))),
                    write);
        } catch (UnreadableException e) {
            server.tallies.add(Tally.UNREADABLE);
            return new Simple(this, surplus, Answers.line("-SYNTAX " + e.getMessage()));
        }
    }

    private Exchange info(List<byte[]> command) {
        if (command.size() != 2 || !Answers.latin(command.get(1)).equals("load")) {
            return new Simple(this, surplus, Answers.line("-ERR no such section"));
        }
        return server.figures().probing().allowed() ? probe(null) : new Simple(this, surplus, Answers.line("-NOPERM"));
    }

    private Exchange probe(byte[] reply) {
        server.tallies.add(Tally.PROBED);
        return server.figures().probing().allowed()
                ? new ServerProbe(server, this, surplus, reply)
                : new Simple(this, surplus, reply);
    }

    @Override
    protected void begin(Exchange exchange) {
        if (exchange instanceof Simple simple) {
            simple.give();
        } else if (surplus) {
            server.tallies.add(Tally.TURNED_AWAY);
            exchange.answer(Answers.line("-BUSY"));
        } else if (exchange instanceof ServerProbe probe) {
            onceReady(probe::enter);
        } else if (exchange instanceof ServerRequest request && request.arrive()) {
            onceReady(request::enter);
        }
    }

    private void onceReady(Runnable enter) {
        if (ready) {
            enter.run();
        } else {
            early.add(enter);
        }
    }

    @Override
    protected byte[] unreadable() {
        return Answers.line("-SYNTAX not a command");
    }
}
