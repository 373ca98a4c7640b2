package slateseam.router;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import slateseam.router.handover.Handover;
import slateseam.router.handover.Succession;
import slateseam.router.handover.Succession.Role;
import slateseam.router.net.Clock;
import slateseam.router.net.Loop;

/** Looks for the other process of this router, and carries out what {@link Succession} settles. */
final class Upgrade {
    /** The heir's waiting requests wait for this; an otherwise idle router looks seldom. */
    private static final long HEIR_NANOS = 10 * Clock.MILLI;

    private static final long SERVING_NANOS = 200 * Clock.MILLI;

    private final Loop loop;
    private final Handover handover;
    private final Succession succession;
    private final BooleanSupplier takeOver;
    private final Consumer<Boolean> share;
    private boolean taken;
    private boolean shared;

    /**
     * Creates it for a process that has looked who is there.
     *
     * @param takeOver begins to use the supply and the port for messages; false if that must be tried again
     * @param share keeps to a part of the descriptors, or goes back to all
     */
    Upgrade(Loop loop, Handover handover, BooleanSupplier takeOver, Consumer<Boolean> share) {
        this.loop = loop;
        this.handover = handover;
        this.succession = new Succession(handover.isHeir());
        this.takeOver = takeOver;
        this.share = share;
        this.taken = !handover.isHeir();
    }

    boolean isHeir() {
        return succession.role() == Role.HEIR;
    }

    /** Begins to look. */
    void begin() {
        settle();
        if (succession.role() != Role.SOLE) {
            loop.log().line("upgrade", "another process of this router serves; this one is to take over");
        }
        loop.after(succession.role() == Role.SOLE ? SERVING_NANOS : HEIR_NANOS, this::look);
    }

    private void look() {
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
            loop.log().line("upgrade", "the other process cannot be looked for: " + e);
        }
        settle();
        boolean soon = !taken || succession.role() == Role.SUCCESSOR;
        loop.after(soon ? HEIR_NANOS : SERVING_NANOS, this::look);
    }

    private void settle() {
        if (shared != succession.isShared()) {
            shared = succession.isShared();
            share.accept(shared);
        }
        if (!taken && succession.hasSupply()) {
            taken = takeOver.getAsBoolean();
        }
    }

    /** This process is told to end; whether there is one that takes over, to which it has to hand over when it can. */
    boolean ends() {
        try {
            succession.heir(handover.heirIsThere());
        } catch (IOException e) {
            loop.log().line("upgrade", "the other process cannot be looked for: " + e);
        }
        return succession.ends();
    }

    /** Hands over: nothing of what was handed over is used here any more. */
    void hand() {
        try {
            handover.hand();
        } catch (IOException e) {
            loop.log().line("upgrade", "the other process takes over only when this one has ended: " + e);
        }
    }
}
