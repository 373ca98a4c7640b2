package slateseam.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** What a run gave. */
final class ScaleResult {
    private final ScaleSettings settings;
    private final List<Figure> figures = new ArrayList<>();
    private final List<String> spoilt = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    ScaleResult(ScaleSettings settings) {
        this.settings = settings;
    }

    void add(String phase, String name, String unit, Collection<Double> values, int missing) {
        if (!values.isEmpty() || missing > 0) {
            figures.add(new Figure(phase, name, unit, List.copyOf(values), missing));
        }
    }

    /** The machine was too busy for the figures of a phase. */
    void spoilt(String phase, String why) {
        spoilt.add(phase + ": " + why);
    }

    /** Something is wrong with what was measured, or with the run. */
    void fault(String text) {
        faults.add(text);
    }

    boolean isSpoilt() {
        return !spoilt.isEmpty();
    }

    boolean hasFaults() {
        return !faults.isEmpty();
    }

    List<Figure> figures() {
        return figures;
    }

    /** A table, a line for each figure. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%d routers: %d hollow, %d real; %d servers listed%n",
                settings.routers(),
                settings.hollow(),
                settings.real(),
                settings.servers()));
        text.append(String.format(
                Locale.ROOT,
                "%-16s %-44s %9s %9s %9s %7s %7s  %s%n",
                "phase",
                "figure",
                "50%",
                "99%",
                "most",
                "values",
                "missing",
                "unit"));
        for (Figure figure : figures) {
            text.append(String.format(
                    Locale.ROOT,
                    "%-16s %-44s %9s %9s %9s %7d %7d  %s%n",
                    figure.phase(),
                    figure.name(),
                    number(figure.percentile(50)),
                    number(figure.percentile(99)),
                    number(figure.most()),
                    figure.values().size(),
                    figure.missing(),
                    figure.unit()));
        }
        spoilt.forEach(why -> text.append("SPOILT ").append(why).append('\n'));
        faults.forEach(why -> text.append("FAULT ").append(why).append('\n'));
        return text.toString().stripTrailing();
    }

    private static String number(double value) {
        return Double.isInfinite(value)
                ? "-"
                : Math.abs(value) >= 100
                        ? String.format(Locale.ROOT, "%.0f", value)
                        : String.format(Locale.ROOT, "%.2f", value);
    }

    JSONObject json() {
        return new JSONObject()
                .put("hollow", settings.hollow())
                .put("real", settings.real())
                .put("servers", settings.servers())
                .put("window_s", settings.windowSeconds())
                .put("turns", settings.turns())
                .put("figures", new JSONArray(figures.stream().map(Figure::json).toList()))
                .put("spoilt", new JSONArray(spoilt))
                .put("faults", new JSONArray(faults));
    }
}
