/** Discovery is crowded: calls wait in turn before they are answered. A cache server begins to drain, and stays up. */
final class SlowDiscovery {
    private static final long TURN_MILLIS = 1_200;
    /** The longest time that any page allows after a failed call: four times rules.ask_within, which is 10 s here. */
    private static final long TOLD_MILLIS = 40_000;
    /** rules.drain_grace, and the 50 ms by which each limit is longer on sockets. */
    private static final long GRACE_MILLIS = 550;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            for (int i = 1; i <= 4; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                discovery.put(cache.name, cache.address(), "full-box", "ready");
            }
            discovery.put("o", origin.address(), "origin", "ready");
            Kit.Router router = kit.new Router(discovery, Kit.READ, Kit.KEYED, Kit.ONCE);
            router.mode = "ask";
            router.configure(Kit.READ, Kit.KEYED, Kit.ONCE);
            router.start();
            router.awaitReady();
            Kit.Client client = kit.new Client(router.port);
            int asked = 0;
            for (double until = Kit.ms() + 3_000; Kit.ms() < until; Kit.sleep(100)) {
                client.ask(Kit.get("k" + asked % 40, "w" + asked++, "c=read,t=acme,d=1500"));
            }
            if (kit.trouble) {
                discovery.delayMillis = TURN_MILLIS;
                kit.note("discovery is crowded: each call waits " + TURN_MILLIS + " ms for its turn from now on");
            }
            Kit.sleep(3_000);
            discovery.put("c1", kit.caches.get("c1").address(), "full-box", "draining");
            double bound = Kit.ms() + TOLD_MILLIS + GRACE_MILLIS;
            double sixSeconds = Kit.ms() + 6_000 + GRACE_MILLIS;
            while (Kit.ms() < bound + 5_000) {
                client.ask(Kit.get("k" + asked % 40, "w" + asked++, "c=read,t=acme,d=1500"));
                Kit.sleep(100);
            }
            long afterSix = kit.asks.stream().filter(a -> a.server().equals("c1") && a.at() > sixSeconds).count();
            long late = kit.asks.stream().filter(a -> a.server().equals("c1") && a.at() > bound).count();
            kit.note("requests to c1 over 6.55 s after its drain: " + afterSix + ", over 40.55 s: " + late);
            kit.end(late > 0 ? 1 : 0, late + " requests to c1 over 40.55 s after it began to drain, " + afterSix + " over 6.55 s");
        });
    }
}
