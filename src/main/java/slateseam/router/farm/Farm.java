package slateseam.router.farm;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.NodeConfig;
import slateseam.router.net.Clock;
import slateseam.router.net.Hash;
import slateseam.router.net.MalformedException;

/** The farm as its source last told it: who is in it, where, and in what state. */
public final class Farm {
    private static final int MOST_ENTRIES = 4096;
    private static final double MOST_SHARE = 1e6;
    /** In nanoseconds it still fits into a long. */
    private static final long MOST_BORN_MILLIS = Long.MAX_VALUE / Clock.MILLI;

    /** An application server or the origin. */
    public record Entry(String host, InetSocketAddress address, Member member, boolean isOrigin) {
        /** Whether it wants new requests. */
        public boolean isReady() {
            return member.state() == MemberState.READY;
        }
    }

    private final List<String> zones;
    private final List<String> kinds;
    private final int originKind;
    private Map<Long, Entry> entries = new HashMap<>();
    private long version;

    /** Creates an empty farm; zones and kinds are numbered by their places in the settings' lists. */
    public Farm(List<String> zones, List<String> kinds, int originKind) {
        this.zones = zones;
        this.kinds = kinds;
        this.originKind = originKind;
    }

    /** What is listed under an id; null if nothing is. */
    public Entry entry(long id) {
        return entries.get(id);
    }

    /** All that is listed, in no order. */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** How many application servers want new requests; the origin is none. */
    public int readyServers() {
        return (int) entries.values().stream()
                .filter(entry -> entry.isReady() && !entry.isOrigin())
                .count();
    }

    /** How many application servers are listed, those included that drain. */
    public int servers() {
        return (int)
                entries.values().stream().filter(entry -> !entry.isOrigin()).count();
    }

    /** The version of what discovery told last. */
    public long version() {
        return version;
    }

    /**
     * Takes in a list of discovery's, or none of it.
     *
     * @param cached whether it is what the router had before its start, which may be old
     * @throws MalformedException if it cannot be read
     */
    public MembersChanged take(JSONObject list, boolean cached) throws MalformedException {
        try {
            boolean whole = cached || list.getBoolean("whole");
            long newVersion = list.getLong("seq");
            JSONArray hosts = list.getJSONArray("hosts");
            if (hosts.length() > MOST_ENTRIES) {
                throw new MalformedException("a list of " + hosts.length() + " hosts");
            }
            Map<Long, Entry> taken = whole ? new HashMap<>() : new HashMap<>(entries);
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < hosts.length(); i++) {
                Entry entry = entry(hosts.getJSONObject(i));
                if (entry.member.state() == MemberState.GONE) {
                    taken.remove(entry.member.id());
                } else {
                    taken.put(entry.member.id(), entry);
                }
                members.add(entry.member);
            }
            entries = taken;
            version = newVersion;
            return new MembersChanged(cached ? ListKind.CACHED : whole ? ListKind.FULL : ListKind.DELTA, members);
        } catch (JSONException e) {
            throw new MalformedException(e.getMessage());
        }
    }

    /**
     * Takes in what another source than discovery tells; how much that is, is bounded there.
     *
     * @param told each once; with {@link ListKind#DELTA} the changes, those that are gone among them, else all there
     *     are
     */
    public MembersChanged take(List<Entry> told, ListKind kind) {
        Map<Long, Entry> taken = kind == ListKind.DELTA ? entries : new HashMap<>();
        List<Member> members = new ArrayList<>(told.size());
        for (Entry entry : told) {
            if (entry.member.state() == MemberState.GONE) {
                taken.remove(entry.member.id());
            } else {
                taken.put(entry.member.id(), entry);
            }
            members.add(entry.member);
        }
        entries = taken;
        return new MembersChanged(kind, members);
    }

    /**
     * An entry as another source than discovery tells it.
     *
     * @param name its identity, from which its number is derived
     * @param rating its weight, over 0
     * @param upSinceNanos its start, Unix nanoseconds; 0 is long ago
     */
    public Entry entry(
            String name,
            InetSocketAddress address,
            String zone,
            String kind,
            MemberState state,
            double rating,
            long upSinceNanos,
            boolean isOrigin) {
        int number = number(kinds, kind);
        // Guards against an application server that a label makes the origin, and the other way round.
        int taken = isOrigin ? originKind : number == originKind ? kinds.size() : number;
        Member member = new Member(id(name), number(zones, zone), taken, 0, state, rating, upSinceNanos);
        return new Entry(name, address, member, isOrigin);
    }

    /** The whole list in discovery's form, as {@link #take(JSONObject, boolean)} takes it in. */
    public JSONObject list() {
        JSONArray hosts = new JSONArray();
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            String host = entry.address.getAddress().getHostAddress();
            hosts.put(new JSONObject()
                    .put("host", entry.host)
                    .put("dial", (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + entry.address.getPort())
                    .put("site", name(zones, member.zone()))
                    .put("class", name(kinds, member.kind()))
                    .put("block", member.cell())
                    .put("health", entry.isReady() ? "ready" : "draining")
                    .put("share", member.rating())
                    .put("born_ms", member.upSinceNanos() / Clock.MILLI));
        }
        return new JSONObject().put("whole", true).put("seq", version).put("hosts", hosts);
    }

    private Entry entry(JSONObject json) throws MalformedException {
        String host = json.getString("host");
        MemberState state = switch (json.getString("health")) {
            case "ready" -> MemberState.READY;
            case "draining" -> MemberState.DRAINING;
            case "gone" -> MemberState.GONE;
            default -> throw new MalformedException("unknown health of " + host);
        };
        InetSocketAddress address = NodeConfig.address(json.optString("dial"));
        if (address == null && state != MemberState.GONE) {
            throw new MalformedException("no address of " + host);
        }
        double share = json.optDouble("share", 1);
        long born = json.optLong("born_ms");
        // Guards the module: with one such figure all keys go to one server, or a cold one counts as warm.
        if (!(share >= 0 && share <= MOST_SHARE) || born < 0 || born > MOST_BORN_MILLIS) {
            throw new MalformedException("an absurd share or start of " + host);
        }
        int kind = number(kinds, json.optString("class"));
        Member member = new Member(
                id(host),
                number(zones, json.optString("site")),
                kind,
                json.optInt("block"),
                state,
                share,
                born * Clock.MILLI);
        return new Entry(host, address, member, originKind >= 0 && kind == originKind);
    }

    /** Derived from the host's name alone, so that it is the same at every router and after every restart. */
    public static long id(String host) {
        return Hash.of(host.getBytes(StandardCharsets.UTF_8)) >>> 1;
    }

    /** A name's place in the settings' list; one past the end if the settings do not know it. */
    private static int number(List<String> names, String name) {
        int place = names.indexOf(name);
        return place < 0 ? names.size() : place;
    }

    private static String name(List<String> names, int number) {
        return number < names.size() ? names.get(number) : "";
    }
}
