import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client has sent many commands at once when the router is told to end; half of the cache servers hang just then. */
final class BehindHung {
    public static void main(String[] args) throws Exception {
        Kit.run(args[0], kit -> {
            Kit.Discovery discovery = kit.new Discovery();
            Kit.Origin origin = kit.new Origin();
            for (int i = 1; i <= 4; i++) {
                Kit.CacheServer cache = kit.new CacheServer("c" + i);
                for (int k = 0; k < 80; k++) {
                    cache.stored.put("k" + k, Kit.bytes("value of k" + k));
                }
                discovery.put(cache.name, cache.address(), "full-box", "ready");
            }
            discovery.put("o", origin.address(), "origin", "ready");
            // Classes and limits as in deploy/sites/ferry-manifests.toml.
            String[] classes = {
                Kit.profile("view", "pure", 750, 5000, 5000),
                Kit.profile("amend", "token", 1200, 3000, 1200),
                Kit.profile("issue", "side_effect", 1000, 4000, 5000)
            };
            for (int i = 0; i < classes.length; i++) {
                classes[i] = classes[i].replace("\"late_share\":0.0", "\"late_share\":0.4");
            }
            Kit.Router router = kit.new Router(discovery, classes);
            router.limits = "{\"try_limit\":2,\"may_duplicate\":false,\"cancel\":false,\"probes\":false,\"peers\":false,"
                    + "\"retry_after\":false,\"max_retry_after_ns\":2000000000,\"connect_timeout_ns\":250000000,"
                    + "\"streams_per_conn\":1,\"conn_idle_ns\":4000000000,\"most_held\":21197}";
            router.configure(classes);
            router.start();
            router.awaitReady();
            Kit.Client client = kit.new Client(router.port);
            List<String> c1 = new ArrayList<>();
            List<String> c2 = new ArrayList<>();
            for (int k = 0; k < 80; k++) {
                int before = kit.asks.size();
                client.ask(Kit.get("k" + k, "w" + k, "c=view,t=acme,d=5000"));
                String at = kit.asks.get(before).server();
                (at.equals("c1") ? c1 : at.equals("c2") ? c2 : new ArrayList<String>()).add("k" + k);
            }
            if (c1.size() < 8 || c2.size() < 8) {
                kit.end(2, "too few keys at two of the servers");
            }
            List<String> keys = new ArrayList<>(c1.subList(0, 8));
            keys.addAll(c2.subList(0, 8));
            for (int k = 0; k < 10; k++) {
                keys.add("k" + k);
            }
            if (kit.trouble) {
                kit.caches.get("c1").hangs = true;
                kit.caches.get("c2").hangs = true;
                kit.note("c1 and c2 hang from now on");
            }
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < keys.size(); i++) {
                all.append(Kit.text(Kit.get(keys.get(i), "p" + i, "c=view,t=acme,d=5000")));
            }
            client.send(Kit.bytes(all.toString()));
            kit.note(keys.size() + " commands are written");
            Kit.sleep(100);
            if (kit.trouble) {
                router.signal("TERM");
            }
            double term = Kit.ms();
            int answers = 0;
            String how = "";
            try {
                for (; answers < keys.size(); answers++) {
                    Kit.Answer answer = client.answer();
                    kit.note("answer to p" + answers + " " + Math.round(Kit.ms() - term) + " ms after SIGTERM: " + answer);
                }
            } catch (IOException e) {
                how = e.toString();
                kit.note("the connection ended " + Math.round(Kit.ms() - term) + " ms after SIGTERM: " + how);
            }
            kit.end(answers < keys.size() ? 1 : 0, answers + " of " + keys.size() + " commands were answered " + how);
        });
    }
}
