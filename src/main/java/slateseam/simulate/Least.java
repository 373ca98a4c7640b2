package slateseam.simulate;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Finds a small part of a list that still does what the whole does, by leaving out ever smaller stretches of it. */
final class Least {
    private Least() {}

    /**
     * Returns a part from which no single item can be left out, or the smallest found before the predicate gave up.
     *
     * @param whole for which the predicate holds
     * @param holds whether a part still does it; it may say no for want of time
     */
    static <T> List<T> of(List<T> whole, Predicate<List<T>> holds) {
        List<T> least = whole;
        int stretch = Math.max(1, (whole.size() + 1) / 2);
        while (!least.isEmpty()) {
            boolean smaller = false;
            for (int from = 0; from < least.size(); ) {
                List<T> rest = new ArrayList<>(least.subList(0, from));
                rest.addAll(least.subList(Math.min(least.size(), from + stretch), least.size()));
                if (holds.test(rest)) {
                    least = rest;
                    smaller = true;
                } else {
                    from += stretch;
                }
            }
            if (stretch > 1) {
                stretch = (stretch + 1) / 2;
            } else if (!smaller) {
                break;
            }
        }
        return least;
    }
}
