import java.io.IOException;
import java.net.ServerSocket;

/**
 * Case 2: one client that asks for two values of 4 MiB on one connection, and reads them slowly and without a pause for 20 s,
 * then as fast as they come. Without the disruption it reads the same values as fast as they come from the beginning.
 */
public final class SlowReader {
    private static final int LONG = 4 * 1024 * 1024;
    /** Of the slow part, in bytes a second. */
    private static final double RATE = 64 * 1024;

    private static final double SLOW_SECONDS = 20;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        for (int i = 0; i < 12; i++) {
            String name = "s-" + Integer.toHexString(0x5be2a07c + i * 7919);
            ServerSocket cache = rig.cache((socket, command, out) -> {
                String key = Rig.text(command.get(1));
                rig.say("cache server %s got CACHE.GET %s %s", name, key, Rig.text(command.get(2)));
                Rig.pause(0.05);
                Rig.hit(out, Rig.value(key, LONG));
                out.flush();
                rig.say("cache server %s has written its whole answer, and keeps its connection", name);
            });
            rig.host(name, cache, i % 2 == 0 ? "full-box" : "half-box");
        }
        rig.host("o-1", rig.origin((asked, out) -> Rig.ok(out, Rig.value(asked.path(), 100))), "origin");
        rig.configure(rig.discovery(), false);
        Process router = rig.start();
        rig.awaitReady(router);
        try (Rig.Client client = rig.new Client(16 * 1024)) {
            for (int i = 1; i <= 2; i++) {
                client.send(Rig.get(Rig.key("b", i), Rig.key("1", i), 1500));
                rig.say("client has asked: CACHE.GET %s %s c=read,d=1500", Rig.key("b", i), Rig.key("1", i));
            }
            String head = Rig.line(client.in);
            rig.say("client got: %s", head);
            if (!head.equals("$" + LONG)) {
                rig.say("could not run: this is no value of %d bytes", LONG);
                rig.end(2);
            }
            int slowly = Rig.trouble() ? (int) (RATE * SLOW_SECONDS) : 0;
            client.readOn(slowly, RATE, "client");
            rig.say("client reads on as fast as it can");
            client.readOn(LONG + 2 - slowly, 0, "client");
            rig.say("client has the first value");
            rig.say("client got: %s", client.reply().text());
            rig.say("client has the second value");
            rig.end(0);
        } catch (IOException e) {
            rig.say("client: %s", e);
            rig.say("the client has read all the time, and the router has ended its connection; it runs: %s", router.isAlive());
            rig.end(1);
        }
    }
}
