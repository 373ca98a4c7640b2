package slateseam.router.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * The settings in force, and the slots of classes. A class that is dropped keeps its slot until the last request of it has
 * ended; one that is added again under its name has it back. So there are at most as many slots as classes are listed and
 * have open requests at once.
 */
public final class Versions {
    private final List<String> names = new ArrayList<>();
    private final List<Integer> open = new ArrayList<>();
    private Version current;

    /** Begins with the settings of the start. */
    public Versions(Settings settings) {
        current = new Version(settings, slots(settings));
    }

    /** The version that requests come with now. */
    public Version current() {
        return current;
    }

    /** The names of classes by slot, as they are now: a view. */
    public List<String> names() {
        return Collections.unmodifiableList(names);
    }

    /**
     * Classes, limits and rules of these settings are in force from now on; all else stays until the next start, as the
     * ring's messages and the farm's numbers depend on it.
     */
    public Version adopt(Settings changed) {
        Settings was = current.settings();
        Settings now = new Settings(
                was.me(),
                was.routers(),
                was.zone(),
                was.tickNanos(),
                was.askedDiscovery(),
                was.mode(),
                was.originKind(),
                changed.overShareWorth(),
                changed.classes(),
                was.tenants(),
                changed.limits(),
                changed.rules());
        current = new Version(now, slots(now));
        return current;
    }

    /** A request of a class is open from now on. */
    public void begun(int slot) {
        open.set(slot, open.get(slot) + 1);
    }

    /** It has ended. */
    public void ended(int slot) {
        open.set(slot, open.get(slot) - 1);
    }

    private List<Integer> slots(Settings settings) {
        List<String> wanted =
                settings.classes().stream().map(RequestClass::name).toList();
        List<Integer> slots = new ArrayList<>();
        for (String name : wanted) {
            int slot = names.indexOf(name);
            for (int i = 0; slot < 0 && i < names.size(); i++) {
                slot = open.get(i) == 0 && !wanted.contains(names.get(i)) ? i : -1;
            }
            if (slot < 0) {
                slot = names.size();
                names.add(name);
                open.add(0);
            }
            names.set(slot, name);
            slots.add(slot);
        }
        return slots;
    }
}
