package slateseam.router.request;

import java.util.List;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * One version of the settings, which never changes. A request keeps the one that it came with.
 *
 * @param settings what the decision module is told
 * @param slots of each class, by its number in the settings: its slot, which is its own while any request of it is open
 */
public record Version(Settings settings, List<Integer> slots) {
    /** Copies the list, so that a version never changes. */
    public Version {
        slots = List.copyOf(slots);
    }

    /** The number of a class by its name; -1 if there is none. */
    public int number(String name) {
        for (int i = 0; name != null && i < settings.classes().size(); i++) {
            if (settings.classes().get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** A class by its number. */
    public RequestClass type(int number) {
        return settings.classes().get(number);
    }
}
