package slateseam;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts the entries of every table, queue and array that can be reached from an object of the program, by the field that
 * holds it: whatever grows shows up, also what nobody thought of. Objects of other libraries are not looked into, but for
 * collections.
 */
public final class Census {
    private final List<String> packages;
    private final Map<String, Long> entries = new TreeMap<>();
    private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<Object> open = new ArrayDeque<>();

    private Census(List<String> packages) {
        this.packages = packages;
    }

    /** Counts what is reached from an object through classes of these packages. */
    public static Map<String, Long> of(Object root, String... packages) {
        Census census = new Census(List.of(packages));
        census.reach(root);
        for (Object next; (next = census.open.poll()) != null; ) {
            census.look(next);
        }
        return census.entries;
    }

    private void reach(Object object) {
        if (object == null || object instanceof Class || object instanceof Enum || object instanceof Thread) {
            return;
        }
        String name = object.getClass().getName();
        boolean own = packages.stream().anyMatch(name::startsWith);
        boolean holds = object instanceof Collection || object instanceof Map || object instanceof Object[];
        if ((own || holds) && seen.add(object)) {
            open.add(object);
        }
    }

    private void look(Object object) {
        if (object instanceof Map<?, ?> map) {
            map.forEach((key, value) -> {
                reach(key);
                reach(value);
            });
        } else if (object instanceof Collection<?> all) {
            all.forEach(this::reach);
        } else if (object instanceof Object[] all) {
            for (Object each : all) {
                reach(each);
            }
        } else {
            for (Class<?> c = object.getClass(); c != null && c != Object.class; c = c.getSuperclass()) {
                if (packages.stream().anyMatch(c.getName()::startsWith)) {
                    fields(object, c);
                }
            }
        }
    }

    private void fields(Object object, Class<?> declaring) {
        for (Field field : declaring.getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
                continue;
            }
            try {
                field.setAccessible(true);
                Object value = field.get(object);
                long size = size(value);
                if (size > 0) {
                    String type = declaring.getSimpleName().isEmpty() ? declaring.getName() : declaring.getSimpleName();
                    entries.merge(type + "." + field.getName(), size, Long::sum);
                }
                reach(value);
            } catch (IllegalAccessException e) {
                throw new AssertionError(e);
            }
        }
    }

    private static long size(Object value) {
        return value instanceof Collection<?> all
                ? all.size()
                : value instanceof Map<?, ?> map
                        ? map.size()
                        : value != null && value.getClass().isArray() ? Array.getLength(value) : 0;
    }
}
