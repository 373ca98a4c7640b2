package slateseam.standin.kubernetes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONStringer;

/** Answers lists and single reads. */
final class Lister {
    private static final String TOKEN = "meta.k8s.io/v1";

    private record Place(long version, String after) {
        String token() {
            String json = new JSONStringer()
                    .object()
                    .key("v")
                    .value(TOKEN)
                    .key("rv")
                    .value(version)
                    .key("start")
                    .value(after + '\0')
                    .endObject()
                    .toString();
            return Base64.getUrlEncoder().withoutPadding().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        }

        static Place of(String token) {
            try {
                JSONObject json =
                        new JSONObject(new String(Base64.getUrlDecoder().decode(token), StandardCharsets.UTF_8));
                String start = json.getString("start");
                return new Place(json.getLong("rv"), start.substring(0, start.length() - 1));
            } catch (IllegalArgumentException | IndexOutOfBoundsException | JSONException e) {
                throw new IllegalArgumentException("continue key is not valid", e);
            }
        }
    }

    private final Cluster cluster;
    private final SliceStore store;
    private boolean blank;

    Lister(Cluster cluster) {
        this.cluster = cluster;
        this.store = cluster.store();
    }

    /** Lists tell of no slice from now on, or of those there are. */
    void blank(boolean empty) {
        blank = empty;
    }

    void get(ApiCall call, String namespace, String name) {
        Stored slice = namespace.equals(cluster.namespace()) ? store.get(name) : null;
        if (slice == null) {
            call.tell(Status.notFound(name));
        } else {
            call.tell(slice.whole());
        }
    }

    void list(ApiCall call, String namespace) {
        Query query = call.query;
        Selector selector = new Selector(query.text("labelSelector"), query.text("fieldSelector"), cluster.namespace());
        long asked = query.number("resourceVersion");
        String match = query.text("resourceVersionMatch");
        Status wrong = wrong(query, asked, match);
        if (wrong != null) {
            call.tell(wrong);
            return;
        }
        // An old server answers "any version" from its cache, whole.
        long limit = asked == 0 ? 0 : Math.max(0, query.number("limit"));
        Place place = query.has("continue") ? Place.of(query.text("continue")) : null;
        long version = place != null && place.version >= 0
                ? place.version
                : asked > 0 && (match.equals("Exact") || match.isEmpty() && limit > 0) ? asked : store.version();
        if (version > store.version() || asked > store.version()) {
            call.tell(Status.tooLarge(Math.max(version, asked), store.version()));
        } else if (!store.knows(version)) {
            call.tell(
                    place == null
                            ? Status.tooOld(version, store.version())
                            : Status.staleToken(new Place(-1, place.after).token()));
        } else {
            call.tell(text(namespace, selector, version, limit, place));
        }
    }

    private static Status wrong(Query query, long asked, String match) {
        if (query.has("sendInitialEvents")) {
            return Status.invalid("sendInitialEvents: Forbidden: sendInitialEvents is forbidden for list");
        }
        if (query.has("continue") && asked > 0) {
            return Status.badRequest("specifying resource version is not allowed when using continue");
        }
        if (!match.isEmpty() && query.has("continue")) {
            return Status.invalid("resourceVersionMatch: Forbidden: resourceVersionMatch is forbidden when continue is "
                    + "provided");
        }
        if (!match.isEmpty() && asked < 0) {
            return Status.invalid("resourceVersionMatch: Forbidden: resourceVersionMatch is forbidden unless "
                    + "resourceVersion is provided");
        }
        if (!match.isEmpty() && !match.equals("Exact") && !match.equals("NotOlderThan")) {
            return Status.invalid("resourceVersionMatch: Unsupported value: \"" + match + '"');
        }
        return match.equals("Exact") && asked == 0
                ? Status.invalid("resourceVersionMatch: Forbidden: "
                        + "resourceVersionMatch \"exact\" is forbidden for resourceVersion \"0\"")
                : null;
    }

    private String text(String namespace, Selector selector, long version, long limit, Place place) {
        boolean ours = !blank && (namespace.isEmpty() || namespace.equals(cluster.namespace()));
        List<Stored> rest = new ArrayList<>(ours ? store.at(version) : List.of());
        rest.removeIf(slice ->
                !selector.matches(slice) || place != null && slice.name().compareTo(place.after) <= 0);
        List<Stored> page = limit > 0 && limit < rest.size() ? rest.subList(0, (int) limit) : rest;
        StringBuilder text = new StringBuilder("{\"kind\":\"EndpointSliceList\",\"apiVersion\":\"discovery.k8s.io/v1\","
                        + "\"metadata\":{\"resourceVersion\":\"")
                .append(version)
                .append('"');
        if (page.size() < rest.size()) {
            String token = new Place(version, page.get(page.size() - 1).name()).token();
            text.append(",\"continue\":\"").append(token).append('"');
            if (selector.selectsAll()) {
                text.append(",\"remainingItemCount\":").append(rest.size() - page.size());
            }
        }
        text.append("},\"items\":[");
        for (int i = 0; i < page.size(); i++) {
            text.append(i == 0 ? "" : ",").append(page.get(i).item());
        }
        return text.append("]}\n").toString();
    }
}
