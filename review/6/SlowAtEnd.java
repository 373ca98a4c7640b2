import java.io.IOException;

/**
 * A client asks for a long value, sends a once-write behind it, and reads slowly while its router is told to end; nobody kills the
 * router.
 */
final class SlowAtEnd {
    private static final int PART = 64 * 1024;
    private static final int BYTES_PER_SECOND = 512 * 1024;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            byte[] big = new byte[4 * 1024 * 1024];
            java.util.Arrays.fill(big, (byte) 'b');
            String[] server = {"every cache server has given all"};
            for (int i = 1; i <= 4; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                cache.service = (ask, out) -> {
                    try {
                        out.write(Kit.head(big.length));
                        out.write(big);
                        out.write(Kit.bytes(Kit.TAIL));
                        kit.note(ask.server() + " has given all of the value to the system");
                    } catch (IOException e) {
                        server[0] = ask.server() + " was cut off while it gave the value: " + e.getMessage();
                        kit.note(server[0]);
                        throw e;
                    }
                    return true;
                };
                discovery.put(cache.name, cache.address(), "full-box", "ready");
            }
            discovery.put("o", origin.address(), "origin", "ready");
            Kit.Router router = kit.new Router(discovery, Kit.READ, Kit.KEYED, Kit.ONCE);
            router.start();
            router.awaitReady();
            Kit.Client client = kit.new Client(router.port, PART);
            client.send(Kit.bytes(Kit.text(Kit.get("big", "a1", "c=read,t=acme,d=1500"))
                    + Kit.text(Kit.resp("CACHE.SET", "note", "a2", "c=once-write,t=acme,d=4000", "new"))));
            String head = Kit.line(client.in);
            kit.note("the first line of the answer to a1: " + head);
            if (!head.equals("$" + big.length)) {
                kit.end(2, "the value was not begun");
            }
            double began = Kit.ms();
            double term = 0;
            int got = 0;
            byte[] part = new byte[PART];
            String how = "whole";
            String receipt = "no answer";
            try {
                while (got < big.length) {
                    int n = client.in.read(part, 0, Math.min(PART, big.length - got));
                    if (n < 0) {
                        how = "the connection ended";
                        break;
                    }
                    got += n;
                    if (got % (512 * 1024) < n) {
                        kit.note("the client has read " + got + " bytes");
                    }
                    if (kit.trouble && term == 0 && got > big.length / 16) {
                        router.signal("TERM");
                        term = Kit.ms();
                    }
                    Kit.sleep((long) (began + got * 1000.0 / BYTES_PER_SECOND - Kit.ms()));
                }
                if (got == big.length) {
                    client.in.readNBytes(2);
                    receipt = client.answer().toString();
                }
            } catch (IOException e) {
                how = e.toString();
            }
            if (term != 0) {
                kit.note("that was " + Math.round(Kit.ms() - term) + " ms after SIGTERM");
            }
            Kit.sleep(200);
            long carriedOut = kit.asks.stream().filter(a -> a.command().equals("PUT") && a.id().equals("a2")).count();
            kit.note("router alive: " + router.process.isAlive() + "; " + server[0]);
            kit.note("the once-write a2 was carried out " + carriedOut + " times; its client has: " + receipt);
            kit.end(got == big.length && !receipt.equals("no answer") ? 0 : 1, "the client got " + got + " of " + big.length
                    + " bytes of the value, " + how + "; its once-write, carried out " + carriedOut + " times, has: " + receipt);
        });
    }
}
