package slateseam.router.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;

/**
 * The settings in force, and the slots of request classes. A class that is removed from the settings keeps its slot
 * until its last request has ended, and gets the same slot back if it is added again under the same name before the
 * slot is reused. The number of slots is therefore bounded by the number of classes that are listed or have open
 * requests at once.
 */
public final class Versions {
    private final List<String> names = new ArrayList<>();
    private final List<Integer> openRequests = new ArrayList<>();
    private Version current;

    /** Creates the first version from the settings at startup. */
    public Versions(Settings settings) {
        current = new Version(settings, slots(settings));
    }

    /** Returns the version in force, which new requests use. */
    public Version current() {
        return current;
    }

    /** Returns a live, read-only view of the names of classes, by slot. */
    public List<String> names() {
        return Collections.unmodifiableList(names);
    }

    /**
     * Adopts the classes, limits, rules and over-share worth of changed settings. All other settings stay until the
     * next start, because the messages of the ring and the numbering of the farm depend on them.
     *
     * @return the new version
     */
    public Version adopt(Settings changed) {
        Settings previous = current.settings();
        Settings now = new Settings(
                previous.me(),
                previous.routers(),
                previous.zone(),
                previous.tickNanos(),
                previous.askedDiscovery(),
                previous.mode(),
                previous.originKind(),
                changed.overShareWorth(),
                changed.classes(),
                previous.tenants(),
                changed.limits(),
                changed.rules());
        current = new Version(now, slots(now));
        return current;
    }

    /** Counts a request of the class in the given slot as open. */
    public void requestStarted(int slot) {
        openRequests.set(slot, openRequests.get(slot) + 1);
    }

    /** Counts a request of the class in the given slot as ended. */
    public void requestEnded(int slot) {
        openRequests.set(slot, openRequests.get(slot) - 1);
    }

    private List<Integer> slots(Settings settings) {
        List<String> listed =
                settings.classes().stream().map(RequestClass::name).toList();
        List<Integer> slots = new ArrayList<>();
        for (String name : listed) {
            int slot = names.indexOf(name);
            for (int i = 0; slot < 0 && i < names.size(); i++) {
                slot = openRequests.get(i) == 0 && !listed.contains(names.get(i)) ? i : -1;
            }
            if (slot < 0) {
                slot = names.size();
                names.add(name);
                openRequests.add(0);
            }
            names.set(slot, name);
            slots.add(slot);
        }
        return slots;
    }
}
