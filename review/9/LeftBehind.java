/**
 * A client sends a command that takes a while, a read of a long value and one more read on one connection, and leaves; the router goes
 * on with the first.
 */
final class LeftBehind {
    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            byte[] big = new byte[512 * 1024];
            java.util.Arrays.fill(big, (byte) 'b');
            for (int i = 1; i <= 4; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                cache.stored.put("big", big);
                cache.service = (ask, out) -> {
                    if (ask.key().startsWith("lacking")) {
                        Kit.sleep(250);
                    }
                    return false;
                };
                discovery.put(cache.name, cache.address(), "full-box", "ready");
            }
            origin.service = (ask, out) -> {
                boolean first = kit.asks.stream().filter(a -> a.id().equals(ask.id())).count() == 1;
                if (ask.command().equals("PUT") && first) {
                    Kit.sleep(250);
                    out.write(Kit.bytes("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"));
                    return true;
                }
                return false;
            };
            discovery.put("o", origin.address(), "origin", "ready");
            Kit.Router router = kit.new Router(discovery, Kit.READ, Kit.KEYED, Kit.ONCE);
            router.start();
            router.awaitReady();
            try (Kit.Client first = kit.new Client(router.port)) {
                for (int i = 0; i < 8; i++) {
                    kit.note("warm-up: " + first.ask(Kit.get("warm" + i, "w" + i, "c=read,t=acme,d=1500")));
                }
            }
            Kit.sleep(300);
            int late = 0;
            int rounds = 6;
            for (int round = 0; round < rounds; round++) {
                Kit.Client client = kit.new Client(router.port);
                String id = "r" + round;
                client.send(round % 2 == 0
                        ? Kit.get("lacking" + round, id + "a", "c=read,t=acme,d=1500")
                        : Kit.resp("CACHE.SET", "lacking" + round, id + "a", "c=once-write,t=acme,d=4000", "new"));
                client.send(Kit.get("big", id + "b", "c=read,t=acme,d=1500"));
                Kit.sleep(60);
                client.send(Kit.get("warm1", id + "c", "c=read,t=acme,d=1500"));
                Kit.sleep(10);
                double closed = Double.MAX_VALUE;
                if (kit.trouble) {
                    client.close();
                    closed = Kit.ms();
                    kit.note("the client of " + id + " has closed its connection");
                } else {
                    for (int i = 0; i < 3; i++) {
                        kit.note("answer to " + id + "abc".charAt(i) + ": " + client.answer());
                    }
                }
                Kit.sleep(900);
                for (Kit.Ask ask : kit.asks) {
                    if (ask.id().startsWith(id) && ask.at() > closed + 150) {
                        late++;
                        kit.note("BREAK: " + ask.server() + " got an attempt of " + ask.id() + " "
                                + Math.round(ask.at() - closed) + " ms after the close");
                    }
                }
                client.close();
            }
            kit.end(late > 0 ? 1 : 0, late + " attempts began over 0.15 s after the close, in " + rounds + " rounds");
        });
    }
}
