import java.io.IOException;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 3: three commands that a client sends on one connection at once: a read of a long value, a once-write, a read. The
 * cache server dies in the middle of the long value; without the disruption it goes on.
 */
public final class BehindCut {
    private static final int LONG = 4 * 1024 * 1024;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        Set<String> carriedOut = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 12; i++) {
            String name = "s-" + Integer.toHexString(0x5be2a07c + i * 7919);
            ServerSocket cache = rig.cache((socket, command, out) -> {
                String key = Rig.text(command.get(1));
                if (!key.startsWith("b")) {
                    Rig.pause(0.05);
                    Rig.hit(out, Rig.value(key, 1000));
                    rig.say("cache server %s has answered CACHE.GET %s", name, key);
                    return;
                }
                byte[] value = Rig.value(key, LONG);
                out.write(Rig.bytes("*3\r\n$" + LONG + "\r\n"));
                out.write(value, 0, LONG / 2);
                out.flush();
                Rig.pause(0.6);
                if (Rig.trouble()) {
                    rig.say("cache server %s dies in the middle of the value of %s", name, key);
                    socket.setSoLinger(true, 0); // as when its process is killed
                    socket.close();
                    throw new IOException("dead");
                }
                out.write(value, LONG / 2, LONG / 2);
                out.write(Rig.bytes("\r\n$3\r\nhit\r\n$-1\r\n"));
            });
            rig.host(name, cache, i % 2 == 0 ? "full-box" : "half-box");
        }
        rig.host("o-1", rig.origin((asked, out) -> {
            Rig.pause(0.15);
            if (asked.method().equals("PUT")) {
                carriedOut.add(asked.id());
                rig.say("origin has carried out the write %s of %s", asked.id(), asked.path());
            }
            Rig.ok(out, Rig.bytes("receipt of " + asked.id()));
        }), "origin");
        rig.configure(rig.discovery(), false);
        Process router = rig.start();
        rig.awaitReady(router);

        String write = Rig.key("2", 1);
        try (Rig.Client client = rig.new Client()) {
            client.socket.setSoTimeout(8000);
            client.send(Rig.get(Rig.key("b", 1), Rig.key("1", 1), 1500));
            client.send(Rig.set(Rig.key("c", 1), write, "c=once-write,t=luzon-north,d=4000", Rig.bytes("checked out")));
            client.send(Rig.get(Rig.key("a", 1), Rig.key("3", 1), 1500));
            rig.say("client has sent on one connection: CACHE.GET %s, once-write CACHE.SET %s with id %s, CACHE.GET %s",
                    Rig.key("b", 1), Rig.key("c", 1), write, Rig.key("a", 1));
            for (int i = 0; i < 3; i++) {
                rig.say("client got answer %d: %s", i + 1, client.reply().text());
            }
            rig.end(0);
        } catch (IOException e) {
            rig.say("client's connection: %s", e);
            rig.say("the once-write %s was carried out: %s; its answer has not come, nor that of the read behind it; "
                    + "the router runs: %s", write, carriedOut.contains(write), router.isAlive());
            rig.end(1);
        }
    }
}
