package slateseam.router.tap;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import slateseam.router.request.Names;

/**
 * What a watcher wants to see.
 *
 * @param tenant the number of the tenant; -1 for all
 * @param requestClass the number of the class; -1 for all
 * @param sample the part of the requests, from 0 to 1
 */
record Filter(int tenant, int requestClass, double sample) {
    private static final Pattern PART = Pattern.compile("[01]|[01]?\\.[0-9]{1,9}");

    /** Reads {@code t=NAME c=NAME sample=PART}, each of which may be missing; null if it cannot be read. */
    static Filter parse(String line, Names names) {
        int tenant = -1;
        int requestClass = -1;
        double sample = 1;
        Set<String> read = new HashSet<>();
        for (String field : line.isBlank() ? new String[0] : line.strip().split("\\s+")) {
            String[] parts = field.split("=", 2);
            String value = parts.length == 2 ? parts[1] : "";
            boolean good = read.add(parts[0]);
            switch (parts[0]) {
                // A name that no request can have would show nothing for ever: it is a fault.
                case "t" -> good &= (tenant = names.tenants().indexOf(value)) >= 0;
                case "c" -> good &= (requestClass = names.classes().indexOf(value)) >= 0;
                case "sample" -> {
                    good &= PART.matcher(value).matches();
                    sample = good ? Double.parseDouble(value) : 0;
                    good &= sample <= 1;
                }
                default -> good = false;
            }
            if (!good) {
                return null;
            }
        }
        return new Filter(tenant, requestClass, sample);
    }

    boolean wants(int ofTenant, int ofClass) {
        return (tenant < 0 || tenant == ofTenant) && (requestClass < 0 || requestClass == ofClass);
    }
}
