package slateseam.router.kubernetes;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.farm.Farm;
import slateseam.router.farm.FarmSource;
import slateseam.router.membership.Membership;
import slateseam.router.membership.Note;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Server;
import slateseam.router.net.Clock;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.tls.RefusedException;

/** The farm as Kubernetes tells it: what the API tells goes by way of a membership, and what that changes to the farm. */
public final class KubernetesFarm implements FarmSource {
    /** Guards the API against lists that are asked for one after another. */
    private static final long LEAST_LOOK_NANOS = 1_000 * Clock.MILLI;

    private final Loop loop;
    private final Farm farm;
    private final Consumer<MembersChanged> listener;
    private final Membership membership;
    private final Follower follower;
    private final Remarks remarks;
    /** Whether the farm has had a list from here; until then it is what the router had before. */
    private boolean listed;

    private Runnable changed = () -> {};
    private Deadline change;
    private Deadline look;
    private long lookedAt;

    /**
     * Creates a source that reports what changes, in the happening in which the change was read.
     *
     * @param aside does what would hold up the loop
     * @param seed for the waits between tries
     */
    public KubernetesFarm(
            Loop loop,
            Executor aside,
            KubernetesSettings settings,
            Farm farm,
            long seed,
            Consumer<MembersChanged> listener) {
        this.loop = loop;
        this.farm = farm;
        this.listener = listener;
        membership = new Membership(Memberships.settings(settings));
        remarks = new Remarks(loop);
        follower = new Follower(
                loop, aside, settings, membership, new BackOff(new SplittableRandom(seed)), remarks, this::told);
    }

    /**
     * Looks whether the files that an API's settings name can be used.
     *
     * @throws RefusedException if not; the message says why
     */
    public static void check(KubernetesSettings settings) throws RefusedException {
        Access.check(settings.api());
    }

    /** Runs an action whenever what is to be remembered has changed. */
    public void onChange(Runnable action) {
        changed = action;
    }

    /** What is to be remembered over a restart. */
    public Remembered remembered() {
        return membership.remembered();
    }

    /** Goes on from what was remembered, before anything else. */
    public void restore(Remembered remembered) {
        membership.restore(remembered, loop.now());
    }

    /** The farm as far as it is known without the API: what was remembered, and a fixed origin. */
    public MembersChanged known() {
        return Memberships.whole(farm, membership.servers(loop.now()), ListKind.CACHED);
    }

    /** The servers as they are to be taken for now, by name. */
    public List<Server> servers() {
        return membership.servers(loop.now());
    }

    /** Where the watch stands, as the API tells it; null before the first list. */
    public String version() {
        return membership.version();
    }

    /** How many bytes of bodies were read. */
    long bytesRead() {
        return follower.bytesRead();
    }

    @Override
    public void begin() {
        follower.begin();
    }

    /** Goes on with the API at another address, or with other files, at once; nothing else is taken over. */
    public void moveTo(KubernetesSettings settings) {
        follower.moveTo(settings.api());
    }

    private void told() {
        Membership.Changes changes = membership.changes(loop.now());
        for (Note note : membership.notes()) {
            remarks.say(note.kind(), note.text());
        }
        MembersChanged members = listed
                ? Memberships.changes(farm, changes)
                : Memberships.whole(farm, membership.servers(loop.now()), ListKind.FULL);
        listed = true;
        if (members != null) {
            listener.accept(members);
        }
        plan();
        changed.run();
    }

    /** Sees to what may change, or be worth a look, by time alone. */
    private void plan() {
        loop.cancel(change);
        long at = membership.nextChange();
        change = at == Long.MAX_VALUE ? null : loop.after(Math.max(Clock.MILLI, at - loop.now()), this::told);
        loop.cancel(look);
        long lookAt = membership.nextLook();
        look = lookAt == Long.MAX_VALUE
                ? null
                : loop.after(Math.max(lookAt, lookedAt + LEAST_LOOK_NANOS) - loop.now(), this::look);
    }

    private void look() {
        lookedAt = loop.now();
        follower.listAnew();
        plan();
    }
}
