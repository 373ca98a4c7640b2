package slateseam.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * A figure with all its values.
 *
 * @param phase of the run
 * @param name what was measured, and at whom
 * @param unit of the values
 * @param values one for each time that it was measured
 * @param missing how often what was waited for did not come in time
 */
record Figure(String phase, String name, String unit, List<Double> values, int missing) {
    Figure {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        values = List.copyOf(sorted);
    }

    /** The least value that this part of all does not exceed; those that are missing exceed any. */
    double percentile(double percent) {
        int rank = (int) Math.ceil(percent / 100 * (values.size() + missing));
        return rank > values.size() ? Double.POSITIVE_INFINITY : values.get(Math.max(0, rank - 1));
    }

    double most() {
        return percentile(100);
    }

    JSONObject json() {
        return new JSONObject()
                .put("phase", phase)
                .put("name", name)
                .put("unit", unit)
                .put("values", new JSONArray(values))
                .put("missing", missing);
    }
}
