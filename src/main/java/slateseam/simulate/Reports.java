package slateseam.simulate;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.useragent.Service;

/** What one day gave, as JSON and as text. */
final class Reports {
    private Reports() {}

    static JSONObject json(Result result) {
        JSONArray breaches = new JSONArray();
        result.breaches()
                .forEach(breach -> breaches.put(new JSONObject()
                        .put("rule", breach.rule().name())
                        .put("seconds", (breach.nanos() - result.begin()) / 1e9)
                        .put("router", breach.router())
                        .put("request", breach.request())
                        .put("text", breach.text())));
        Service service = result.service();
        return new JSONObject()
                .put("seed", result.day().seed())
                .put("hash", result.hashText())
                .put("happenings", result.happenings())
                .put("seconds", result.nanos() / 1e9)
                .put("breaches", breaches)
                .put(
                        "faults",
                        result.day().timeline().faults().stream()
                                .map(Fault::toString)
                                .toList())
                .put("service", service.whole().service())
                .put("worst_ten_seconds", service.worstTenSeconds())
                .put("classes", parts(service.byClass()))
                .put("tenants", parts(service.byTenant()))
                .put("endings", new JSONObject(service.endings()))
                .put(
                        "supplies",
                        new JSONObject()
                                .put("least", result.supplies().least())
                                .put("median", result.supplies().median())
                                .put("most", result.supplies().most()))
                .put("logged", new JSONObject(result.logged()))
                .put("counts", new JSONObject(result.tallies()));
    }

    private static JSONObject parts(Map<String, Service.Tally> tallies) {
        JSONObject parts = new JSONObject();
        tallies.forEach((name, tally) -> parts.put(
                name, new JSONObject().put("requests", tally.requests()).put("service", tally.service())));
        return parts;
    }

    static String text(Result result) {
        Service service = result.service();
        return String.format(
                Locale.ROOT,
                "service %.3f, worst ten seconds %.3f%nclasses %s%ntenants %s%nendings %s%n"
                        + "supplies add up to %.3f at the least, %.3f in the median, %.3f at the most%n"
                        + "logged %s%ncounts %s%nfaults%s",
                service.whole().service(),
                service.worstTenSeconds(),
                shown(service.byClass()),
                shown(service.byTenant()),
                service.endings(),
                result.supplies().least(),
                result.supplies().median(),
                result.supplies().most(),
                result.logged(),
                result.tallies(),
                result.day().timeline().faults().stream()
                        .map(fault -> System.lineSeparator() + "  " + fault)
                        .collect(Collectors.joining()));
    }

    private static String shown(Map<String, Service.Tally> tallies) {
        return tallies.entrySet().stream()
                .map(entry -> String.format(
                        Locale.ROOT,
                        "%s %.3f of %d",
                        entry.getKey(),
                        entry.getValue().service(),
                        entry.getValue().requests()))
                .collect(Collectors.joining(", "));
    }
}
