package slateseam.router.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of servers, by name; a change costs the move of an array, not a list made anew from all that is known. */
final class Roster {
    private Server[] servers = new Server[64];
    private int size;
    private List<Server> published;
    /** What was told of those that changed since {@link #changes} was asked last; null if nothing was. */
    private final Map<String, Server> before = new LinkedHashMap<>();

    void put(Server server) {
        int at = place(server.name());
        if (at >= 0) {
            remember(server.name(), servers[at]);
            servers[at] = server;
        } else {
            remember(server.name(), null);
            if (size == servers.length) {
                servers = Arrays.copyOf(servers, 2 * size);
            }
            System.arraycopy(servers, -at - 1, servers, -at, size + at + 1);
            servers[-at - 1] = server;
            size++;
        }
        published = null;
    }

    void remove(String name) {
        int at = place(name);
        if (at < 0) {
            return;
        }
        remember(name, servers[at]);
        System.arraycopy(servers, at + 1, servers, at, size - at - 1);
        servers[--size] = null;
        published = null;
    }

    private void remember(String name, Server old) {
        if (!before.containsKey(name)) {
            before.put(name, old);
        }
    }

    List<Server> list() {
        if (published == null) {
            published = Collections.unmodifiableList(Arrays.asList(Arrays.copyOf(servers, size)));
        }
        return published;
    }

    Membership.Changes changes() {
        List<Server> changed = new ArrayList<>();
        List<Server> gone = new ArrayList<>();
        before.forEach((name, old) -> {
            int at = place(name);
            if (at >= 0 && !servers[at].equals(old)) {
                changed.add(servers[at]);
            } else if (at < 0 && old != null) {
                gone.add(old);
            }
        });
        before.clear();
        return new Membership.Changes(changed, gone);
    }

    private int place(String name) {
        int low = 0;
        int high = size - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = servers[middle].name().compareTo(name);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }
}
