import java.io.IOException;
import java.util.Arrays;

/**
 * A new configuration drops the class with the longest deadline. Later the router is told to end, and killed no sooner than the
 * pages say for the classes that are left.
 */
final class DroppedClass {
    /** The longest deadline of the classes that are left, 0.7 s, and the 50 ms by which each limit is longer on sockets. */
    private static final long KILL_MILLIS = 1_500 + 700 + 50;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            origin.workMillis = 210;
            for (int i = 1; i <= 4; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                cache.workMillis = 86;
                discovery.put(cache.name, cache.address(), "full-box", "ready");
            }
            discovery.put("o", origin.address(), "origin", "ready");
            // Without the disruption the class was never there, and everything else is the same.
            Kit.Router router = kit.trouble
                    ? kit.new Router(discovery, Kit.READ, Kit.ONCE)
                    : kit.new Router(discovery, Kit.READ);
            router.start();
            router.awaitReady();
            try (Kit.Client client = kit.new Client(router.port)) {
                for (int i = 0; i < 4; i++) {
                    kit.note("warm-up: " + client.ask(Kit.get("k" + i, "w" + i, "c=read,t=acme,d=1500")));
                }
            }
            if (kit.trouble) {
                router.configure(Kit.READ);
                router.signal("HUP");
            }
            Kit.sleep(5_000);
            try (Kit.Client client = kit.new Client(router.port)) {
                String dropped = client.ask(Kit.get("k1", "w8", "c=once-write,t=acme,d=4000")).toString();
                kit.note("a request of the class that is not there: " + dropped);
                if (!dropped.startsWith("-ERR")) {
                    kit.end(2, "the new configuration was not taken");
                }
            }
            // A client writes its command slowly: it takes under 2 s from the first byte to the last.
            Kit.Client slow = kit.new Client(router.port);
            byte[] command = Kit.get("never-asked-for", "late", "c=read,t=acme,d=1500");
            Kit.sleep(100);
            router.signal("TERM");
            double term = Kit.ms();
            Kit.sleep(100);
            slow.send(Arrays.copyOf(command, 10));
            kit.note("the first bytes of the command are written " + Math.round(Kit.ms() - term) + " ms after SIGTERM");
            Kit.sleep((long) (2_050 - (Kit.ms() - term)));
            boolean[] ended = {false};
            String[] how = {"nothing"};
            Thread reader = Kit.go("reader", () -> {
                try {
                    how[0] = slow.answer().toString();
                } catch (IOException e) {
                    ended[0] = true;
                    how[0] = e.toString();
                }
                kit.note("the client sees " + Math.round(Kit.ms() - term) + " ms after SIGTERM: " + how[0]);
            });
            boolean taken = false;
            try {
                slow.send(Arrays.copyOfRange(command, 10, command.length));
                taken = !ended[0];
                kit.note("the last byte of the command is written " + Math.round(Kit.ms() - term) + " ms after SIGTERM");
            } catch (IOException e) {
                kit.note("the connection has ended before the command was whole: " + e);
            }
            Kit.sleep((long) Math.ceil(KILL_MILLIS - (Kit.ms() - term)));
            String seen = how[0];
            kit.note("SIGKILL " + Math.round(Kit.ms() - term) + " ms after SIGTERM; router alive: " + router.process.isAlive());
            router.kill();
            reader.join(1_000);
            boolean broken = taken && seen.equals("nothing");
            kit.end(broken ? 1 : 0, "the request that was taken 2.05 s after SIGTERM had by SIGKILL: " + seen);
        });
    }
}
