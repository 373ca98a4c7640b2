package slateseam.simulate.scenario;

import java.util.Arrays;
import java.util.List;
import slateseam.simulate.scenario.Unit.Measure;

/** The kinds of faults; their words stand in scenario files and on the command line. */
public enum FaultKind {
    /** Application servers die at once and come back cold at the end. */
    CRASH("crash", Targets.SERVERS, true, null, 0, 0),
    /** Routers are killed and come back at the end with nothing but their last list. */
    ROUTER_KILL("router-kill", Targets.ROUTERS, true, null, 0, 0),
    /** The origin takes so many times as long. */
    ORIGIN_SLOW("origin-slow", Targets.NONE, true, Measure.FACTOR, 1, 100),
    /** The origin answers this part of what it is asked with 500, 503 or 504. */
    ORIGIN_ERRORS("origin-errors", Targets.NONE, true, Measure.SHARE, 0, 1),
    /** The kept copies of this part of all keys go void at once. */
    VOID("void", Targets.NONE, false, Measure.SHARE, 0, 1),
    /** Application servers drain from the beginning and are gone at the end. */
    DRAIN("drain", Targets.SERVERS, true, null, 0, 0),
    /** Application servers end; new ones with new ids take their addresses at the end. */
    REPLACE("replace", Targets.SERVERS, true, null, 0, 0),
    /** What discovery tells these routers comes later by so much. */
    LIST_LATE("list-late", Targets.ROUTERS, true, Measure.TIME, 0, 60e9),
    /** Discovery tells these routers nothing. */
    LIST_FROZEN("list-frozen", Targets.ROUTERS, true, null, 0, 0),
    /** Machines say nothing and hear nothing; their connections hang, and break when they are back. */
    SILENCE("silence", Targets.MACHINES, true, null, 0, 0),
    /** Nothing passes between the machines of each pair. */
    CUT("cut", Targets.PAIRS, true, null, 0, 0),
    /** All open connections of these machines are reset. */
    RESET("reset", Targets.MACHINES, false, null, 0, 0),
    /** Application servers spoil this part of their answers. */
    SPOILT("spoilt", Targets.SERVERS, true, Measure.SHARE, 0, 1),
    /** Rude user agents of these kinds come, each kind in the numbers of the section rude times this. */
    RUDE("rude", Targets.RUDE, true, Measure.FACTOR, 0.01, 100),
    /** Planned restarts roll through these routers in this order, one after another at this distance. */
    RESTART("restart", Targets.ROUTERS, false, Measure.TIME, 0, 60e9),
    /** Discovery of these routers moves, and they are made to read their configuration again. */
    RELOAD("reload", Targets.ROUTERS, false, null, 0, 0),
    /** This part of all datagrams is lost, beside what is lost anyway. */
    DATAGRAM_LOSS("datagram-loss", Targets.NONE, true, Measure.SHARE, 0, 1),
    /** User agents ask so many times as much. */
    SURGE("surge", Targets.NONE, true, Measure.FACTOR, 0, 20),
    /** These routers stand still, as a program does that is stopped or not scheduled; their sockets go on taking what comes. */
    PAUSE("pause", Targets.ROUTERS, true, null, 0, 0),
    /** No datagram gets from the first router of each pair to the second; the other way is left as it is. */
    ONE_WAY("one-way", Targets.ROUTER_PAIRS, true, null, 0, 0),
    /** Datagrams of the first router of each pair to the second are held, in order, and come all at once at the end. */
    STALL("stall", Targets.ROUTER_PAIRS, true, null, 0, 0),
    /** All datagrams come later by so much. */
    DATAGRAM_LATE("datagram-late", Targets.NONE, true, Measure.TIME, 0, 60e9),
    /** This part of all datagrams comes twice, beside what does anyway. */
    DATAGRAM_DOUBLE("datagram-double", Targets.NONE, true, Measure.SHARE, 0, 1),
    /** This part of all datagrams is overtaken by those behind it, up to 250 ms. */
    DATAGRAM_SWAP("datagram-swap", Targets.NONE, true, Measure.SHARE, 0, 1),
    /** The clocks of these routers are ahead by so much, from their next start on; a program that runs reads it no more. */
    CLOCK_AHEAD("clock-ahead", Targets.ROUTERS, true, Measure.TIME, 0, 86_400e9),
    /** The same, behind. */
    CLOCK_BEHIND("clock-behind", Targets.ROUTERS, true, Measure.TIME, 0, 86_400e9),
    /** These routers get only this part of each 100 ms, as on a machine that has other work. */
    STARVE("starve", Targets.ROUTERS, true, Measure.SHARE, 0.01, 1),
    /** Connections of the first machine of each pair to the second are refused; open ones stay. */
    REFUSE("refuse", Targets.PAIRS, true, null, 0, 0),
    /** What the first machine of each pair sends to the second is taken and goes no further; it comes at once at the end. */
    STREAM_STALL("stream-stall", Targets.PAIRS, true, null, 0, 0),
    /** No more than so many bytes a second pass from the first machine of each pair to the second. */
    NARROW("narrow", Targets.PAIRS, true, Measure.SIZE, 1, 1 << 30),
    /** Beside each of these routers another process of it is started, which takes over. */
    UPGRADE("upgrade", Targets.ROUTERS, false, null, 0, 0),
    /** At these routers a group is begun that decides on the policy of the tier. */
    POLICY_BEGIN("policy-begin", Targets.ROUTERS, false, null, 0, 0),
    /** At these routers a change of the policy is proposed. */
    POLICY_CHANGE("policy-change", Targets.ROUTERS, false, null, 0, 0),
    /** At these routers it is asked for that the newest change be taken back. */
    POLICY_UNDO("policy-undo", Targets.ROUTERS, false, null, 0, 0),
    /** What these routers force comes onto their disks in part, the rest is zeros. */
    DISK_TORN("disk-torn", Targets.ROUTERS, true, null, 0, 0),
    /** What these routers force comes onto their disks in part, the rest is missing. */
    DISK_SHORT("disk-short", Targets.ROUTERS, true, null, 0, 0),
    /** What these routers force never comes onto their disks, which say that it has. */
    DISK_LOST("disk-lost", Targets.ROUTERS, true, null, 0, 0),
    /** What these routers force comes onto their disks only at the end. */
    DISK_LATE("disk-late", Targets.ROUTERS, true, null, 0, 0),
    /** Of what these routers force one bit is another. */
    DISK_FLIP("disk-flip", Targets.ROUTERS, true, null, 0, 0),
    /** From the beginning these routers' files are back, whole, at what they held before their last replacement. */
    DISK_OLD("disk-old", Targets.ROUTERS, true, null, 0, 0),
    /** New names do not come onto these routers' disks, though their folder is forced. */
    DISK_FORGETS("disk-forgets", Targets.ROUTERS, true, null, 0, 0),
    /** These routers' disks are full. */
    DISK_FULL("disk-full", Targets.ROUTERS, true, null, 0, 0),
    /** These routers' disks cannot be written. */
    DISK_READ_ONLY("disk-read-only", Targets.ROUTERS, true, null, 0, 0),
    /** The folder in which these routers keep what lasts is not there. */
    DISK_GONE("disk-gone", Targets.ROUTERS, true, null, 0, 0),
    /** A force takes these routers so long. */
    DISK_SLOW("disk-slow", Targets.ROUTERS, true, Measure.TIME, 0, 60e9),
    /** These routers' folders are emptied; a router that runs goes on with what it had opened. */
    DISK_EMPTY("disk-empty", Targets.ROUTERS, false, null, 0, 0);

    /** Whom a fault befalls. */
    public enum Targets {
        /** It names nobody. */
        NONE,
        /** Application servers. */
        SERVERS,
        /** Routers. */
        ROUTERS,
        /** Application servers, routers, the origin, discovery's agents and user agents. */
        MACHINES,
        /** Two machines each, written as {@code router-1~big-2}. */
        PAIRS,
        /** Two routers each, in the order in which something passes: {@code router-1~router-2}. */
        ROUTER_PAIRS,
        /** Kinds of rude user agents. */
        RUDE
    }

    private final String word;
    private final Targets targets;
    private final boolean lasts;
    private final Measure size;
    private final double least;
    private final double most;

    FaultKind(String word, Targets targets, boolean lasts, Measure size, double least, double most) {
        this.word = word;
        this.targets = targets;
        this.lasts = lasts;
        this.size = size;
        this.least = least;
        this.most = most;
    }

    /** Its name in files and on the command line. */
    public String word() {
        return word;
    }

    /** Whom it befalls. */
    public Targets targets() {
        return targets;
    }

    /** Whether days are drawn with it where nobody says how; else it is played only where a file or script names it. */
    public boolean isDrawn() {
        return compareTo(PAUSE) < 0;
    }

    /** Whether the virtual clock can play it; else only trials on processes can. */
    public boolean isVirtual() {
        return compareTo(REFUSE) < 0;
    }

    /** Whether it is a change of the policy that routers share, and no fault. */
    public boolean isOfPolicy() {
        return this == POLICY_BEGIN || this == POLICY_CHANGE || this == POLICY_UNDO;
    }

    /** Whether it befalls what routers keep on their disks. */
    public boolean isOfDisks() {
        return compareTo(DISK_TORN) >= 0;
    }

    /** Whether it has an end of its own. */
    public boolean lasts() {
        return lasts;
    }

    /** What its size measures; null if it has none. */
    public Measure size() {
        return size;
    }

    /** The least size, in the measure's basic unit. */
    double least() {
        return least;
    }

    /** The greatest size, in the measure's basic unit. */
    double most() {
        return most;
    }

    /** All words, in order. */
    public static List<String> words() {
        return Arrays.stream(values()).map(FaultKind::word).toList();
    }

    /** The kind of this word; null if there is none. */
    public static FaultKind find(String word) {
        return Arrays.stream(values())
                .filter(kind -> kind.word.equals(word))
                .findFirst()
                .orElse(null);
    }
}
