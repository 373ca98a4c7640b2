import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: clients that each read one value of 4 MiB slowly, where the origin sends the values in chunks. Without the
 * disruption the same clients read the same values as fast as they come.
 */
public final class ChunkedValues {
    private static final int LONG = 4 * 1024 * 1024;
    private static final int CHUNK = 16 * 1024;
    private static final int CLIENTS = 40;
    private static final double CLIENTS_A_SECOND = 4;
    /** Of a slow reader, in bytes a second: one that reads a value of 4 MiB in 16 s. */
    private static final double RATE = 256 * 1024;

    private final Rig rig;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();

    private ChunkedValues(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        new ChunkedValues(new Rig(args[0])).play();
    }

    private void play() throws IOException {
        for (int i = 0; i < 12; i++) {
            ServerSocket cache = rig.cache((socket, command, out) -> Rig.miss(out));
            rig.host("s-" + Integer.toHexString(0x5be2a07c + i * 7919), cache, i % 2 == 0 ? "full-box" : "half-box");
        }
        rig.host("o-1", rig.origin((asked, out) -> {
            rig.say("origin got %s %s for request %s; answers 200 with %d bytes in chunks", asked.method(), asked.path(), asked.id(), LONG);
            out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            byte[] value = Rig.value(asked.path(), LONG);
            for (int at = 0; at < LONG; at += CHUNK) {
                out.write(Rig.bytes(Integer.toHexString(CHUNK) + "\r\n"));
                out.write(value, at, CHUNK);
                out.write(Rig.bytes("\r\n"));
            }
            out.write(Rig.bytes("0\r\n\r\n"));
        }), "origin");
        rig.configure(rig.discovery(), false);
        Process router = rig.start();
        rig.awaitReady(router);
        for (int i = 0; i < CLIENTS && router.isAlive(); i++) {
            int number = i;
            Rig.daemon(() -> ask(number));
            Rig.pause(1 / CLIENTS_A_SECOND);
        }
        for (int i = 0; i < 350 && whole.get() + other.get() + cut.get() < CLIENTS && router.isAlive(); i++) {
            Rig.pause(0.1);
        }
        boolean crashed = !router.isAlive();
        rig.say("%d clients have their whole value, %d another answer, %d were cut off", whole.get(), other.get(), cut.get());
        if (crashed) {
            rig.say("the router has crashed: status %d", router.exitValue());
        }
        rig.end(crashed ? 1 : 0);
    }

    private void ask(int number) {
        try (Rig.Client client = rig.new Client(16 * 1024)) {
            String id = Rig.key("1", number);
            client.send(Rig.get(Rig.key("b", number), id, 1500));
            rig.say("client %d has asked: CACHE.GET %s %s c=read,d=1500", number, Rig.key("b", number), id);
            String head = Rig.line(client.in);
            rig.say("client %d got: %s", number, head);
            if (!head.startsWith("$")) {
                other.incrementAndGet();
                return;
            }
            client.readOn(Integer.parseInt(head.substring(1)) + 2, Rig.trouble() ? RATE : 0, "client " + number);
            rig.say("client %d has its whole value", number);
            whole.incrementAndGet();
        } catch (IOException e) {
            cut.incrementAndGet();
            rig.say("client %d: %s", number, e);
        }
    }
}
