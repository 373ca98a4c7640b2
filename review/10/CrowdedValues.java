import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Eight clients read a long value each, not very fast; each sends one more command behind its read. */
final class CrowdedValues {
    private static final int CLIENTS = 8;
    private static final int PART = 64 * 1024;
    private static final int BYTES_PER_SECOND = 1024 * 1024;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            byte[] big = new byte[4 * 1024 * 1024];
            Arrays.fill(big, (byte) 'b');
            for (int i = 1; i <= 12; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                cache.stored.put("small", Kit.bytes("s"));
                for (int k = 0; k < CLIENTS; k++) {
                    cache.stored.put("big" + k, big);
                }
                cache.service = (ask, out) -> {
                    if (!ask.key().startsWith("big")) {
                        return false;
                    }
                    try {
                        out.write(Kit.head(big.length));
                        out.write(big);
                        out.write(Kit.bytes(Kit.TAIL));
                    } catch (IOException e) {
                        kit.note(ask.server() + " was cut off while it gave the value for " + ask.id() + ": " + e.getMessage());
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
            try (Kit.Client warm = kit.new Client(router.port)) {
                for (int k = 0; k < 60; k++) {
                    warm.ask(Kit.get("small", "w" + k, "c=read,t=acme,d=1500"));
                }
            }
            Kit.sleep(1_000);
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(CLIENTS);
            for (int c = 0; c < CLIENTS; c++) {
                int me = c;
                Kit.go("client", () -> {
                    try (Kit.Client client = kit.new Client(router.port, PART)) {
                        byte[] first = Kit.get("big" + me, "b" + me, "c=read,t=acme,d=1500");
                        byte[] second = Kit.get("small", "s" + me, "c=read,t=acme,d=1500");
                        byte[] both = Arrays.copyOf(first, first.length + second.length);
                        System.arraycopy(second, 0, both, first.length, second.length);
                        client.send(kit.trouble ? both : first);
                        String head = Kit.line(client.in);
                        int got = read(client, head, big.length + 2);
                        kit.note("answer to b" + me + ": " + head + (got > 0 ? ", " + got + " bytes" : ""));
                        boolean asked = kit.asks.stream().anyMatch(a -> a.id().equals("b" + me));
                        if (got == big.length + 2) {
                            whole.incrementAndGet();
                        } else if (asked) {
                            lost.incrementAndGet();
                        }
                        if (!kit.trouble) {
                            client.send(second);
                        }
                        kit.note("answer to s" + me + ": " + client.answer());
                    } catch (IOException e) {
                        kit.note("client " + me + ": " + e);
                    } finally {
                        done.countDown();
                    }
                });
                Kit.sleep(20);
            }
            done.await();
            kit.end(lost.get() > 0 ? 1 : 0, whole + " of " + CLIENTS + " values came whole; " + lost
                    + " did not, though a cache server was giving them");
        });
    }

    /** Reads a value at the client's pace; how many bytes came. */
    private static int read(Kit.Client client, String head, int length) throws IOException {
        byte[] part = new byte[PART];
        double began = Kit.ms();
        int got = 0;
        while (head.startsWith("$") && got < length) {
            int n = client.in.read(part, 0, Math.min(PART, length - got));
            if (n < 0) {
                break;
            }
            got += n;
            Kit.sleep((long) (began + got * 1000.0 / BYTES_PER_SECOND - Kit.ms()));
        }
        return got;
    }
}
