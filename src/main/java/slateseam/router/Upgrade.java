package slateseam.router;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import slateseam.router.handover.Handover;
import slateseam.router.handover.Succession;
import slateseam.router.handover.Succession.Role;
import slateseam.router.net.Clock;
import slateseam.router.net.Loop;

/**
 * Polls for another process of the same router during an upgrade, and carries out what {@link Succession} decides.
 */
final class Upgrade {
    /** Polling interval during a takeover; short, because requests that wait at the new process wait for it. */
    private static final long TAKEOVER_POLL_NANOS = 10 * Clock.MILLI;

    /** Polling interval otherwise; long, so that an idle router rarely wakes up. */
    private static final long IDLE_POLL_NANOS = 200 * Clock.MILLI;

    private final Loop loop;
    private final Handover handover;
    private final Succession succession;
    private final BooleanSupplier takeOver;
    private final Consumer<Boolean> share;
    private boolean tookOver;
    private boolean sharesDescriptors;

    /**
     * Creates the upgrade logic of a process that has already checked for another process.
     *
     * @param takeOver takes over the supply and the message port; returns false if it must be tried again
     * @param share receives true to limit this process to a part of the descriptors, and false to lift that limit
     */
    Upgrade(Loop loop, Handover handover, BooleanSupplier takeOver, Consumer<Boolean> share) {
        this.loop = loop;
        this.handover = handover;
        this.succession = new Succession(handover.isHeir());
        this.takeOver = takeOver;
        this.share = share;
        this.tookOver = !handover.isHeir();
    }

    boolean isHeir() {
        return succession.role() == Role.HEIR;
    }

    /** Starts polling. */
    void begin() {
        apply();
        if (succession.role() != Role.SOLE) {
            loop.log().line("upgrade", "another process of this router serves; this one is to take over");
        }
        loop.after(succession.role() == Role.SOLE ? IDLE_POLL_NANOS : TAKEOVER_POLL_NANOS, this::poll);
    }

    private void poll() {
        try {
            Role before = succession.role();
            switch (before) {
                case SOLE, PREDECESSOR -> succession.heir(handover.heirIsThere());
                case HEIR, SUCCESSOR -> {
                    if (handover.isAlone()) {
                        succession.alone();
                    } else if (before == Role.HEIR && handover.isHanded()) {
                        succession.handed();
                    }
                }
                case RETIRED -> {}
            }
            if (succession.role() != before) {
                loop.log().line("upgrade", "from " + before + " to " + succession.role());
            }
        } catch (IOException e) {
            loop.log().line("upgrade", "cannot check for another process of this router: " + e);
        }
        apply();
        boolean pollOften = !tookOver || succession.role() == Role.SUCCESSOR;
        loop.after(pollOften ? TAKEOVER_POLL_NANOS : IDLE_POLL_NANOS, this::poll);
    }

    private void apply() {
        if (sharesDescriptors != succession.isShared()) {
            sharesDescriptors = succession.isShared();
            share.accept(sharesDescriptors);
        }
        if (!tookOver && succession.hasSupply()) {
            tookOver = takeOver.getAsBoolean();
        }
    }

    /**
     * Called when this process is told to end.
     *
     * @return whether another process takes over, to which this one must hand over
     */
    boolean beginEnd() {
        try {
            succession.heir(handover.heirIsThere());
        } catch (IOException e) {
            loop.log().line("upgrade", "cannot check for another process of this router: " + e);
        }
        return succession.ends();
    }

    /** Hands over to the other process; from now on this process uses nothing that it has handed over. */
    void handOver() {
        try {
            handover.hand();
        } catch (IOException e) {
            loop.log()
                    .line(
                            "upgrade",
                            "handover failed; the other process takes over only after this one has ended: " + e);
        }
    }
}
