package slateseam.router.figures;

import java.math.BigDecimal;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** How figures are written, each on a line of its own. */
enum Format {
    /** StatsD with tags, as DogStatsD has them. */
    STATSD {
        @Override
        String tags(String requestClass, String tenant, String ending) {
            return "|#c:" + word(requestClass) + ",t:" + word(tenant) + ",out:" + ending;
        }

        @Override
        String tag(String name, String value) {
            return "|#" + name + ":" + word(value);
        }

        /** There is no way to escape what parts a line. */
        private String word(String value) {
            return STATSD_PARTS.matcher(value).replaceAll("_");
        }

        @Override
        String counter(String name, String tags, long value) {
            return "slateseam." + name + ":" + value + "|c" + tags;
        }

        @Override
        String gauge(String name, long value) {
            return "slateseam." + name + ":" + value + "|g";
        }

        /** In full, as collectors work the number out again, and without an exponent, which some do not read. */
        private String rate(int count) {
            return new BigDecimal(Double.toString(1.0 / count)).toPlainString();
        }

        /** A line for each class of times, with its mean, which the sample rate makes stand for all in that class. */
        @Override
        void timer(String name, String tags, Cell cell, Consumer<String> to) {
            for (int i = 0; i < cell.classesOfTimes(); i++) {
                int count = cell.count(i);
                if (count > 0) {
                    to.accept("slateseam." + name + ":" + cell.mean(i) + "|ms" + (count > 1 ? "|@" + rate(count) : "")
                            + tags);
                }
            }
        }
    },

    /** InfluxDB's line protocol; the time is the reader's. */
    INFLUX {
        @Override
        String tags(String requestClass, String tenant, String ending) {
            return ",c=" + word(requestClass) + ",t=" + word(tenant) + ",out=" + ending;
        }

        @Override
        String tag(String name, String value) {
            return "," + name + "=" + word(value);
        }

        /** A backslash escapes, but cannot itself be escaped. */
        private String word(String value) {
            return INFLUX_PARTS.matcher(value.replace('\\', '_')).replaceAll("\\\\$0");
        }

        @Override
        String counter(String name, String tags, long value) {
            return "slateseam_" + name + tags + " value=" + value + "i";
        }

        @Override
        String gauge(String name, long value) {
            return counter(name, "", value);
        }

        /** One line, as further points of the same tags and time would take each other's place. */
        @Override
        void timer(String name, String tags, Cell cell, Consumer<String> to) {
            to.accept("slateseam_" + name + tags + " value=" + cell.mean() + ",count=" + cell.count() + "i,max="
                    + cell.most());
        }
    };

    private static final Pattern STATSD_PARTS = Pattern.compile("[|,:#]");
    private static final Pattern INFLUX_PARTS = Pattern.compile("[,= ]");

    abstract String tags(String requestClass, String tenant, String ending);

    abstract String tag(String name, String value);

    abstract String counter(String name, String tags, long value);

    abstract String gauge(String name, long value);

    abstract void timer(String name, String tags, Cell cell, Consumer<String> to);
}
