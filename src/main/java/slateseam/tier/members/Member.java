package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import slateseam.tier.members.Message.Ear;

/** What is known of another member. */
final class Member {
    private static final long LEAST_VOUCH = 2_000_000_000L;
    private static final long MOST_VOUCH = 16_000_000_000L;
    /** All that it and others watch are silent. */
    static final int MOST_SILENT = 255;

    /** How a watcher heard it last, and until when that holds. */
    record Heard(Ear ear, long until) {}

    final long id;
    String name;
    int number = -1;
    InetSocketAddress place;
    /** Where others say that it is. */
    InetSocketAddress toldPlace;

    long life;
    int incarnation;
    State state = State.ALIVE;
    long since;
    /** Who said so. */
    long by;
    /** Of its messages, in its life. */
    int sequence;
    /** When its last message came here; 0 for never in this life. */
    long heardAt;
    /** Messages in a row, each soon after the one before, since it has gone. */
    int afresh;
    /** From when on its silence counts: nobody is accused before it could be heard. */
    long watchedSince;

    private double meanGap;
    private double deviation;
    /** Since when it is silent for this router, which watches it; 0 if it is not. */
    long silentSince;

    long toldAt;
    /** Until when another's word for it holds, for one that does not hear it; it holds longer each time. */
    long vouchedUntil;

    private int vouched;
    /** Until when it may answer a suspicion. */
    long suspectUntil;

    final Map<Long, Heard> ears = new HashMap<>();
    /** Another process of its name. */
    long otherLife;

    int otherSequence;
    int others;
    long twiceAt;
    /** Which part of those that it and others watch is silent, as it said last; of {@link #MOST_SILENT}. */
    int silent;
    /** Whether it is among those that were heard lately. */
    boolean isRecent;
    /** The last search for those that can be reached which came to it. */
    int reachedBy;
    /** How often in a row its sender's digest was another. */
    int differs;

    Member(long id) {
        this.id = id;
    }

    /** Whether a claim says something newer than what is known. */
    boolean isOlderThan(long aLife, int anIncarnation, State aState) {
        if (aLife == life && (state == State.LEFT || aState == State.LEFT)) {
            return state != State.LEFT; // nobody can answer for one that said itself that it ends
        }
        return aLife > life
                || aLife == life
                        && (anIncarnation > incarnation || anIncarnation == incarnation && aState.compareTo(state) > 0);
    }

    /** Begins another life. */
    void lives(long aLife, int anIncarnation, long now) {
        life = aLife;
        incarnation = anIncarnation;
        sequence = 0;
        heardAt = 0;
        afresh = 0;
        watchedSince = now;
        silentSince = 0;
        others = 0;
        vouchedUntil = 0;
        vouched = 0;
        ears.clear();
    }

    /** Another has answered a suspicion for it. Guards against one that does not hear it and suspects it again and again. */
    void vouchedFor(long now) {
        vouchedUntil = now + Math.min(MOST_VOUCH, LEAST_VOUCH << Math.min(vouched, 8));
        vouched++;
    }

    /** A message came; learns the usual gaps from it, unless the gap may have been this router's own. */
    void hear(long now, long period, boolean learns) {
        if (heardAt != 0 && learns) {
            double gap = Math.min(now - heardAt, 8.0 * period);
            meanGap = meanGap == 0 ? gap : meanGap + (gap - meanGap) / 16;
            // A gap out of the ordinary counts at once and is forgotten slowly.
            double off = Math.abs(gap - meanGap);
            deviation += (off - deviation) / (off > deviation ? 4 : 32);
        }
        heardAt = now;
        silentSince = 0;
        vouchedUntil = 0;
        vouched = 0;
    }

    /** So long a silence is more than chance. */
    long patience(long period) {
        double usual = meanGap == 0 ? period : meanGap;
        return (long) Math.max(4.0 * period, Math.min(12.0 * period, usual + 4 * deviation + 1.5 * period));
    }
}
