import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Routers are restarted, and a new configuration with SIGHUP reaches one that is just starting. */
final class HupAtStart {
    private static final int ROUNDS = 5;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Discovery moved = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            Kit.CacheServer cache = kit.new CacheServer("c1");
            for (Kit.Discovery d : new Kit.Discovery[] {discovery, moved}) {
                d.put("o", origin.address(), "origin", "ready");
                d.put(cache.name, cache.address(), "full-box", "ready");
            }
            int ended = 0;
            for (int round = 0; round < ROUNDS; round++) {
                Kit.Router router = kit.new Router(discovery, Kit.READ, Kit.KEYED, Kit.ONCE);
                router.start();
                router.awaitReady();
                router.signal("TERM");
                if (!router.process.waitFor(6, java.util.concurrent.TimeUnit.SECONDS)) {
                    router.kill();
                }
                router.start();
                double at = Kit.ms();
                // Until the virtual machine catches SIGHUP; before that no program that runs on it could.
                while (!catchesHup(router.process.pid())) {
                    Kit.sleep(1);
                }
                kit.note("the virtual machine is up and catches SIGHUP " + Math.round(Kit.ms() - at) + " ms after the start");
                Kit.sleep(100);
                if (kit.trouble) {
                    router.discovery = moved;
                    router.configure(Kit.READ, Kit.KEYED, Kit.ONCE);
                    router.signal("HUP");
                }
                try {
                    router.awaitReady();
                    kit.note("ready " + Math.round(Kit.ms() - at) + " ms after the start");
                } catch (IOException e) {
                    if (router.process.isAlive()) {
                        throw e;
                    }
                    ended++;
                    kit.note("BREAK: " + e.getMessage());
                }
                router.kill();
            }
            kit.end(ended > 0 ? 1 : 0, ended + " of " + ROUNDS + " routers ended");
        });
    }

    private static boolean catchesHup(long pid) throws IOException {
        String status = Files.readString(Path.of("/proc/" + pid + "/status"));
        return (Long.parseUnsignedLong(status.replaceAll("(?s).*SigCgt:\\s*([0-9a-f]+).*", "$1"), 16) & 1) != 0;
    }
}
