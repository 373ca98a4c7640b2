package slateseam.standin.kubernetes;

import org.json.JSONStringer;
import org.json.JSONWriter;

/**
 * What the API answers where it does not do what was asked.
 *
 * @param code the HTTP status
 * @param reason the API's word for it
 * @param retryAfterSeconds when to ask again; 0 for not told
 * @param next a token with which a list whose own token is too old may go on, inconsistently; null for none
 */
record Status(int code, String reason, String message, int retryAfterSeconds, String next) {
    static final Status UNAUTHORIZED = of(401, "Unauthorized", "Unauthorized");

    static Status of(int code, String reason, String message) {
        return new Status(code, reason, message, 0, null);
    }

    static Status badRequest(String message) {
        return of(400, "BadRequest", message);
    }

    static Status invalid(String message) {
        return of(422, "Invalid", "ListOptions.meta.k8s.io \"\" is invalid: " + message);
    }

    static Status notFound(String name) {
        return of(404, "NotFound", "endpointslices.discovery.k8s.io \"" + name + "\" not found");
    }

    static Status forbidden(String verb, String namespace) {
        return of(
                403,
                "Forbidden",
                "endpointslices.discovery.k8s.io is forbidden: User \"system:serviceaccount:"
                        + namespace + ":slateseam\" cannot " + verb + " resource \"endpointslices\" in API group "
                        + "\"discovery.k8s.io\" in the namespace \"" + namespace + '"');
    }

    static Status tooOld(long asked, long floor) {
        return of(410, "Expired", "too old resource version: " + asked + " (" + floor + ')');
    }

    static Status tooLarge(long asked, long now) {
        return new Status(504, "Timeout", "Too large resource version: " + asked + ", current: " + now, 1, null);
    }

    static Status staleToken(String next) {
        return new Status(
                410,
                "Expired",
                "The provided continue parameter is too old to display a consistent list "
                        + "result. You can start a new list without the continue parameter.",
                0,
                next);
    }

    /** One with a code that somebody asked for. */
    static Status troubled(int code, int retryAfterSeconds) {
        String reason = switch (code) {
            case 401 -> "Unauthorized";
            case 403 -> "Forbidden";
            case 404 -> "NotFound";
            case 410 -> "Expired";
            case 429 -> "TooManyRequests";
            case 500 -> "InternalError";
            case 503 -> "ServiceUnavailable";
            case 504 -> "Timeout";
            default -> "Unknown";
        };
        return new Status(code, reason, "asked for by a script", retryAfterSeconds, null);
    }

    String json() {
        JSONWriter json = new JSONStringer()
                .object()
                .key("kind")
                .value("Status")
                .key("apiVersion")
                .value("v1")
                .key("metadata")
                .object();
        if (next != null) {
            json.key("continue").value(next);
        }
        json.endObject()
                .key("status")
                .value("Failure")
                .key("message")
                .value(message)
                .key("reason")
                .value(reason);
        if (retryAfterSeconds > 0) {
            json.key("details")
                    .object()
                    .key("retryAfterSeconds")
                    .value(retryAfterSeconds)
                    .endObject();
        }
        return json.key("code").value(code).endObject().toString();
    }

    /** The event that ends a watch. */
    String event() {
        return Change.event("ERROR", json());
    }
}
