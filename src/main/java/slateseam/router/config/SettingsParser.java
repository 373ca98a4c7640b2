package slateseam.router.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import slateseam.decision.Api.CacheMode;
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.Group;
import slateseam.decision.Api.Limits;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Rules;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Tenant;

/**
 * Reads the start-up parameters into {@link Settings}: path=value lines on the simulator's wire, the same paths as a map
 * from a router's configuration. Unknown paths are ignored.
 */
public final class SettingsParser {
    /** A parameter is missing or cannot be read. */
    public static final class InvalidSettingException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidSettingException(String message) {
            super(message);
        }
    }

    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Parses the text of a launch record.
     *
     * @throws InvalidSettingException naming key and value of what is missing or unreadable
     */
    public static Settings parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                values.put(line.substring(0, at).trim(), line.substring(at + 1).trim());
            }
        }
        return parse(values);
    }

    /**
     * Reads the values of paths.
     *
     * @throws InvalidSettingException naming key and value of what is missing or unreadable
     */
    public static Settings parse(Map<String, String> values) {
        return new SettingsParser(values).settings();
    }

    private Settings settings() {
        int routers = integer("replicas_of_me", null);
        int me = integer("me", null);
        if (routers < 1 || me < 0 || me >= routers) {
            throw new InvalidSettingException("setting me=" + me + " lies outside replicas_of_me=" + routers);
        }
        return new Settings(
                me,
                routers,
                integer("az", "0"),
                number("tick_ns", "1000000"),
                choice("discovery", "push", List.of("push", "ask")).equals("ask"),
                CacheMode.valueOf(choice("family_info.mode", "through", List.of("aside", "through"))
                        .toUpperCase(Locale.ROOT)),
                integer("family_info.origin_kind", "-1"),
                real("over_share_worth", "1"),
                classes(),
                tenants(),
                limits(),
                rules());
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        int count = count("profiles.count", null);
        for (int i = 0; i < count; i++) {
            String at = "profiles." + i + ".";
            long deadline = number(at + "deadline_ns", null);
            classes.add(new RequestClass(
                    values.getOrDefault(at + "name", ""),
                    number(at + "objective_ns", Long.toString(deadline)),
                    deadline,
                    real(at + "value", "1"),
                    real(at + "late_share", "0"),
                    Effect.valueOf(choice(at + "effect", null, List.of("pure", "token", "side_effect"))
                            .toUpperCase(Locale.ROOT)),
                    Group.valueOf(choice(at + "group", "cell", List.of("all", "zone", "cell"))
                            .toUpperCase(Locale.ROOT)),
                    number(at + "window_ns", "0"),
                    flag(at + "stream", "false")));
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = count("accounts.count", "0");
        for (int i = 0; i < count; i++) {
            String at = "accounts." + i + ".";
            tenants.add(new Tenant(
                    values.getOrDefault(at + "name", ""), real(at + "quota_per_s", null), real(at + "fraction", "0")));
        }
        return tenants;
    }

    private Limits limits() {
        return new Limits(
                integer("limits.try_limit", null),
                flag("limits.may_duplicate", "false"),
                flag("limits.cancel", "false"),
                flag("limits.probes", "false"),
                flag("limits.peers", "false"),
                flag("limits.retry_after", "false"),
                number("limits.max_retry_after_ns", "0"),
                number("limits.connect_timeout_ns", "250000000"),
                integer("limits.streams_per_conn", "1"));
    }

    private Rules rules() {
        return new Rules(
                number("rules.drain_grace_ns", null),
                number("rules.ask_within_ns", "10000000000"),
                real("rules.start_capacity", "1"),
                number("rules.cold_ns", "0"),
                real("rules.overload_factor", "3"),
                number("rules.fall_ns", "2000000000"),
                number("rules.answer_slack_ns", "0"));
    }

    private String text(String key, String fallback) {
        String value = values.getOrDefault(key, fallback);
        if (value == null) {
            throw new InvalidSettingException("setting " + key + " is missing");
        }
        return value;
    }

    private static InvalidSettingException unreadable(String key, String value) {
        return new InvalidSettingException("setting " + key + "=" + value + " cannot be read");
    }

    private String choice(String key, String fallback, List<String> allowed) {
        String value = text(key, fallback);
        if (!allowed.contains(value)) {
            throw unreadable(key, value);
        }
        return value;
    }

    private boolean flag(String key, String fallback) {
        return choice(key, fallback, List.of("true", "false")).equals("true");
    }

    private double real(String key, String fallback) {
        String value = text(key, fallback);
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, with key and value
        }
        throw unreadable(key, value);
    }

    private long number(String key, String fallback) {
        return Math.round(real(key, fallback));
    }

    private int integer(String key, String fallback) {
        long parsed = number(key, fallback);
        if (parsed != (int) parsed) {
            throw unreadable(key, text(key, fallback));
        }
        return (int) parsed;
    }

    private int count(String key, String fallback) {
        int parsed = integer(key, fallback);
        if (parsed < 0 || parsed > 0xffff) {
            throw unreadable(key, text(key, fallback));
        }
        return parsed;
    }
}
