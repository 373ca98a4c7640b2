package slateseam.router.request;

import java.util.List;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * One immutable version of the settings. A request keeps the version that was in force when it arrived.
 *
 * @param settings the settings that the decision module receives
 * @param slots the slot of each request class, by its number in the settings; no other class uses the slot while
 *     requests of the class are open
 */
public record Version(Settings settings, List<Integer> slots) {
    /** Copies the list, so that the version is immutable. */
    public Version {
        slots = List.copyOf(slots);
    }

    /** Returns the number of the class with the given name; -1 if there is none. */
    public int number(String name) {
        for (int i = 0; name != null && i < settings.classes().size(); i++) {
            if (settings.classes().get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the class with the given number. */
    public RequestClass type(int number) {
        return settings.classes().get(number);
    }
}
