package slateseam.trial.disk;

import java.util.Arrays;
import java.util.Locale;

/** What a disk may do wrong while a fault lasts. */
public enum Lie {
    /** What is forced comes onto the disk in part: the rest is zeros. */
    TORN,
    /** What is forced comes onto the disk in part: the rest is missing. */
    SHORT,
    /** What is forced, files and names, never comes onto the disk. */
    LOST,
    /** What is forced comes onto the disk only when the fault is over. */
    LATE,
    /** Of what is forced one bit is another. */
    FLIP,
    /** From the beginning each file is back, whole, at what it held before its last replacement. */
    OLD,
    /** New names do not come onto the disk, though the folder is forced. */
    FORGETS,
    /** There is no room: a write stops in the middle. */
    FULL,
    /** Nothing can be written or renamed. */
    READ_ONLY,
    /** The folder is not there. */
    GONE,
    /** A force takes its time. */
    SLOW;

    /** Its name in a control file. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The lie of this word; null if there is none. */
    public static Lie find(String word) {
        return Arrays.stream(values())
                .filter(lie -> lie.word().equals(word))
                .findFirst()
                .orElse(null);
    }
}
