package slateseam.standin;

import java.util.List;

/**
 * What requests cost an application server, by class.
 *
 * @param classes 1 to 64 classes with different names; a request of a class that is not among them costs what the first
 *     does
 */
public record WorkFigures(List<OfClass> classes) {
    private static final int MOST_CLASSES = 64;

    /**
     * One class.
     *
     * @param name as requests tell it in their facts
     * @param meanSeconds the mean work, in core seconds at speed 1: 0 to 60
     * @param spread the standard deviation of a request's own work as a part of the mean, 0 to 5: log-normal, the
     *     same at each attempt of one id
     * @param noise the same for what one attempt adds by chance, 0 to 5
     */
    public record OfClass(String name, double meanSeconds, double spread, double noise) {
        /** Checks the figures. */
        public OfClass {
            Range.check("work of " + name, meanSeconds, 0, 60);
            Range.check("spread of " + name, spread, 0, 5);
            Range.check("noise of " + name, noise, 0, 5);
        }
    }

    /** Checks the figures. */
    public WorkFigures {
        classes = List.copyOf(classes);
        Range.check("number of classes", classes.size(), 1, MOST_CLASSES);
        if (classes.stream().map(OfClass::name).distinct().count() < classes.size()) {
            throw new IllegalArgumentException("two classes have one name");
        }
    }

    /** Reads of 65 ms, and two kinds of writes that cost more. */
    public static WorkFigures usual() {
        return new WorkFigures(List.of(
                new OfClass("read", 0.065, 0.9, 0.2),
                new OfClass("keyed-write", 0.09, 0.9, 0.2),
                new OfClass("once-write", 0.12, 0.9, 0.2)));
    }

    /** The class of a name. */
    public OfClass of(String name) {
        for (OfClass one : classes) {
            if (one.name.equals(name)) {
                return one;
            }
        }
        return classes.get(0);
    }
}
