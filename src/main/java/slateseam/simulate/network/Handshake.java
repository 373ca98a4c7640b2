package slateseam.simulate.network;

/** How a connection comes up: a first packet, an answer, and tries again, each after twice the time, if none comes. */
final class Handshake implements Runnable {
    private static final long FIRST_WAIT = 1_000_000_000L;
    private static final int MOST_TRIES = 7;

    private enum Step {
        SEND,
        ARRIVED,
        ANSWERED,
        REFUSED
    }

    private final VirtualNetwork net;
    private final End client;
    /** Null if there is no such machine. */
    private final Machine target;

    private final int port;
    private Step next = Step.SEND;
    private End server;
    private int tries;
    private long sent;

    Handshake(VirtualNetwork net, End client, Machine target, int port) {
        this.net = net;
        this.client = client;
        this.target = target;
        this.port = port;
    }

    @Override
    public void run() {
        if (client.isGone()) {
            gaveUp();
        } else if (next == Step.SEND) {
            send();
        } else if (net.paths().isClosed(client.machine(), target)) {
            again();
        } else if (next == Step.ARRIVED) {
            arrived();
        } else if (next == Step.ANSWERED) {
            client.up();
        } else {
            net.digest().add(net.now(), client.number(), Digest.REFUSED, 0);
            client.failed("Connection refused");
        }
    }

    private void send() {
        if (tries == MOST_TRIES) {
            client.failed("Connection timed out");
            return;
        }
        tries++;
        sent = net.now();
        if (target == null || client.machine().draws(net.conditions().streams().connectLost())) {
            again();
        } else {
            go(Step.ARRIVED, client.machine(), target);
        }
    }

    private void again() {
        if (server != null) {
            server.forget();
            server = null;
        }
        next = Step.SEND;
        net.at(sent + (FIRST_WAIT << tries - 1), this);
    }

    private void arrived() {
        Listener listener = target.listeners.get(port);
        if (listener == null) {
            for (Observer o : net.observers()) {
                o.resetBy(client.number(), target.ip);
            }
            go(Step.REFUSED, target, client.machine());
        } else if (listener.isFull()) {
            again();
        } else {
            listener.expect();
            server = new End(net, listener, client);
            go(Step.ANSWERED, target, client.machine());
        }
    }

    /** Guards the back-log against places that are kept for those who have gone. */
    private void gaveUp() {
        if (server != null && net.paths().isClosed(client.machine(), target)) {
            server.forget();
        } else if (server != null) {
            client.refuse();
        }
    }

    private void go(Step step, Machine from, Machine to) {
        next = step;
        net.at(net.now() + net.paths().delay(from, to), this);
    }
}
