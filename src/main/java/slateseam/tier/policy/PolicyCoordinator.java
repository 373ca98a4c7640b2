package slateseam.tier.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The leader's decisions on versions: accepts or rejects proposals, commits or aborts the open version, and watches
 * the newest version and undoes it if the served share falls too far.
 */
final class PolicyCoordinator {
    private static final long SECOND = 1_000_000_000L;
    /** Minimum interval between two writes of the same command, as the first may not be applied yet. */
    private static final long MIN_REWRITE_NANOS = SECOND;
    /**
     * Maximum number of silent routers that a cause names. A router that is alive may have joined just now and be
     * known to only some of the others.
     */
    private static final int MAX_NAMED_ROUTERS = 4;

    private final PolicySettings settings;
    private final DocumentStore contents;
    private final Verdicts verdicts;
    private final Shares shares;
    private final PolicyPort port;
    private final Consumer<Command> log;
    /**
     * Times at which commands were written to the log, so that a command is not repeated while it is not applied yet.
     */
    private final Map<String, Long> writtenAt = new HashMap<>();

    /** The open version and the time since which this coordinator knows of it. */
    private int openNumber;

    private long openSince;
    /** The watched version and the sum of requests since it took effect. */
    private int watchedNumber;

    private Shares.Sum sumInEffect = new Shares.Sum();

    /**
     * Creates the coordinator of one router; it acts only while that router leads.
     *
     * @param log proposes a command to the replicated log
     */
    PolicyCoordinator(
            PolicySettings settings,
            DocumentStore contents,
            Verdicts verdicts,
            Shares shares,
            PolicyPort port,
            Consumer<Command> log) {
        this.settings = settings;
        this.contents = contents;
        this.verdicts = verdicts;
        this.shares = shares;
        this.port = port;
        this.log = log;
    }

    /** Writes a command to the log, unless a command with the same key was written within the last second. */
    private void write(String key, Command command, long now) {
        if (now - writtenAt.getOrDefault(key, -MIN_REWRITE_NANOS) >= MIN_REWRITE_NANOS) {
            writtenAt.put(key, now);
            log.accept(command);
        }
    }

    /** Handles a proposal from a router: writes it to the log as a version or as a rejection. */
    void onProposal(PolicyMessage.ProposalRequest request, Versions versions, long now) {
        Version version = request.version();
        Version existing = versions.find(version.name());
        if (existing != null && existing.matches(version.name(), version.hash())
                || versions.rejected(version.name(), version.hash()) != null) {
            return; // already proposed or rejected: the proposer learns the outcome from the state
        }
        Version open = versions.open();
        Version newest = versions.newest();
        String cause = null;
        if (existing != null) {
            cause = "version " + existing.number() + " was proposed by that name with another content";
        } else if (open != null) {
            cause = "beaten by " + open.name() + ", proposed at router " + open.proposer();
        } else if (version.undoes() != 0 && (newest == null || newest.number() != version.undoes())) {
            cause = "version " + version.undoes() + " is not the newest that holds";
        } else if (version.undoes() == 0 && newest != null && newest.state() == Version.State.COMMITTED) {
            cause = "version " + newest.number() + " (" + newest.name() + ") is being watched";
        }
        byte[] document = contents.get(version.hash());
        if (cause == null && document == null) {
            contents.fetch(version.hash(), version.length(), request.from());
            return;
        }
        String fault = cause != null ? null : port.check(document);
        if (fault != null) {
            cause = "router " + settings.me() + ": " + fault;
        }
        write(
                "ask " + version.name(),
                cause == null
                        ? new Command.Propose(version)
                        : new Command.Reject(version.name(), version.hash(), cause),
                now);
    }

    /**
     * Does what is due: decides on the open version, and watches the newest committed one.
     *
     * @param alive the routers that are alive
     * @param voting the routers that vote
     * @param viewTrusted whether the view of the routers that are alive can be relied on
     * @param holdsAt when the newest version took or takes effect; in the far future while that is not known
     * @param secondEnded whether a one-second interval of request sums has just ended
     */
    void tick(
            Versions versions,
            Set<Integer> alive,
            Set<Integer> voting,
            boolean viewTrusted,
            long holdsAt,
            boolean secondEnded,
            long now) {
        writtenAt.values().removeIf(at -> now - at > 10 * MIN_REWRITE_NANOS);
        Version open = versions.open();
        if (open != null) {
            decide(
                    open,
                    alive,
                    2 * voting.stream().filter(verdicts::hasAccepted).count() > voting.size(),
                    viewTrusted,
                    now);
        }
        Version newest = versions.newest();
        if (newest != null && newest.state() == Version.State.COMMITTED) {
            watch(newest, versions, holdsAt, secondEnded, now);
        }
    }

    /**
     * Commits or aborts the open version if it is due.
     *
     * @param majorityHasDocument whether a majority of the voters have the document; without that, a version could be
     *     committed and its document be lost
     */
    private void decide(Version open, Set<Integer> alive, boolean majorityHasDocument, boolean viewTrusted, long now) {
        if (openNumber != open.number()) {
            openNumber = open.number();
            openSince = now;
        }
        if (verdicts.number() != open.number()) {
            return;
        }
        if (verdicts.refuser() >= 0) {
            decide(open, false, "router " + verdicts.refuser() + ": " + verdicts.why(), now);
        } else if (majorityHasDocument && viewTrusted && verdicts.haveAllAccepted(alive)) {
            decide(open, true, "", now);
        } else if (now - openSince > settings.decisionTimeoutNanos()) {
            List<Integer> silent = new ArrayList<>(alive);
            silent.removeIf(verdicts::hasAccepted);
            String who = "router "
                    + String.join(
                            ", ",
                            silent.stream()
                                    .limit(MAX_NAMED_ROUTERS)
                                    .map(String::valueOf)
                                    .toList())
                    + (silent.size() > MAX_NAMED_ROUTERS
                            ? " and " + (silent.size() - MAX_NAMED_ROUTERS) + " more"
                            : "");
            if (open.all() || !viewTrusted || !majorityHasDocument) {
                decide(
                        open,
                        false,
                        viewTrusted ? who + " did not answer in time" : "who is there could not be told",
                        now);
            } else {
                decide(open, true, "without " + who, now);
            }
        }
    }

    private void decide(Version open, boolean committed, String cause, long now) {
        write(
                "decide " + open.number(),
                new Command.Decide(
                        open.number(),
                        committed,
                        cause,
                        committed ? shares.recent().shares() : new byte[0]),
                now);
    }

    /** Undoes the newest version if the served share falls too far, and settles it when the watch time is over. */
    private void watch(Version newest, Versions versions, long holdsAt, boolean secondEnded, long now) {
        if (watchedNumber != newest.number()) {
            watchedNumber = newest.number();
            sumInEffect = new Shares.Sum();
        }
        if (now - SECOND < holdsAt) {
            return;
        }
        if (secondEnded) {
            sumInEffect.add(shares.sum(now));
        }
        String fall = secondEnded && newest.undoes() == 0 ? describeFall(newest) : null;
        Version before = versions.before(newest);
        if (fall != null && versions.open() == null) {
            port.tell(
                    "policy-fall", "version=" + newest.number() + " name=" + newest.name() + " fall=\"" + fall + "\"");
            write(
                    "undo " + newest.number(),
                    new Command.Propose(undo(newest, before, settings.me(), port.unixMillis(), fall)),
                    now);
        } else if (now >= holdsAt + newest.watchSeconds() * SECOND && fall == null) {
            write("settle " + newest.number(), new Command.Settle(newest.number()), now);
        }
    }

    /** Returns the proposal that undoes a version by bringing back the document of the version before it. */
    static Version undo(Version version, Version before, int proposer, long unixMillis, String cause) {
        byte[] hash = before == null ? DocumentStore.hash(new byte[0]) : before.hash();
        return new Version(
                0,
                "undo-" + version.number(),
                hash,
                before == null ? 0 : before.length(),
                false,
                before != null && before.stale(),
                0,
                0,
                proposer,
                unixMillis,
                version.number(),
                Version.State.PROPOSED,
                cause,
                new byte[0]);
    }

    /** Returns which share got worse by more than the version's bound since its commit; null if none did. */
    private String describeFall(Version newest) {
        byte[] sharesBefore = newest.before();
        byte[] sharesNow = sumInEffect.shares();
        if (sharesBefore.length != sharesNow.length) {
            return null;
        }
        for (int i = 0; i < PolicyMessage.CLASSES; i++) {
            int points = 100 * ((sharesBefore[i] & 0xff) - (sharesNow[i] & 0xff)) / 255;
            if (sumInEffect.asked[i] >= Shares.MIN_REQUESTS && points > newest.boundPoints()) {
                return "class " + i + " served " + 100 * (sharesNow[i] & 0xff) / 255 + " after "
                        + 100 * (sharesBefore[i] & 0xff) / 255;
            }
        }
        int more =
                100 * ((sharesNow[PolicyMessage.CLASSES] & 0xff) - (sharesBefore[PolicyMessage.CLASSES] & 0xff)) / 255;
        return more > newest.boundPoints()
                ? "refused " + 100 * (sharesNow[PolicyMessage.CLASSES] & 0xff) / 255 + " after "
                        + 100 * (sharesBefore[PolicyMessage.CLASSES] & 0xff) / 255
                : null;
    }
}
