package slateseam.simulate.check;

import java.util.HashMap;
import java.util.Map;

/** Which machines and ways were cut, and until when; a sender may take some time to try again after that. */
final class Disturbances {
    private static final long AGAIN_NANOS = 2_500_000_000L;

    private static final class Spell {
        int open;
        long over = Long.MIN_VALUE;
    }

    private final Map<String, Spell> spells = new HashMap<>();

    void change(String machine, String other, boolean on, long now) {
        Spell spell = spells.computeIfAbsent(other == null ? machine : pair(machine, other), m -> new Spell());
        spell.open += on ? 1 : -1;
        spell.over = now + AGAIN_NANOS;
    }

    /** Whether the way between two machines has been open since a time. */
    boolean none(String a, String b, long since) {
        return spells.isEmpty() || none(a, since) && none(b, since) && none(pair(a, b), since);
    }

    private boolean none(String what, long since) {
        Spell spell = spells.get(what);
        return spell == null || spell.open <= 0 && spell.over < since;
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) <= 0 ? a + " " + b : b + " " + a;
    }
}
