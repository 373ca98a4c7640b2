package slateseam.decision;

import java.util.List;

/** The interface of the decision module: what a router hands to a {@link Brain} and what it gets back. */
public final class Api {
    private Api() {}

    /** What repeating a request does. */
    public enum Effect {
        /** Safe to repeat. */
        PURE,
        /** Carries a key by which a group of members drops repeats for a while. */
        TOKEN,
        /** Must not run twice. */
        SIDE_EFFECT
    }

    /** The members that drop repeats of a {@link Effect#TOKEN} request together. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How this kind of service treats a key that a cache lacks. */
    public enum CacheMode {
        /** The router fetches from the origin. */
        ASIDE,
        /** The cache fetches by itself. */
        THROUGH
    }

    /** What a member's process does, as far as discovery knows. */
    public enum MemberState {
        GONE,
        READY,
        DRAINING
    }

    /** How a {@link MembersChanged} is to be read. */
    public enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    public enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true),
        MISS(true),
        /** Its time ran out before it was written whole: the connection took too long. */
        UNSENT(true),
        /** The member answered, but what came cannot be read; like the one before, only real sockets have it. */
        SPOILT(false);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether it tells of one answer or connection, not of the member: one that is down refuses next. */
        public boolean isMishap() {
            return this == SPOILT || this == RESET;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** A class of requests; an answer after {@code aimNanos} earns {@code lateShare} of its worth. */
    public record RequestClass(
            String name,
            long aimNanos,
            long deadlineNanos,
            double worth,
            double lateShare,
            Effect effect,
            Group group,
            long windowNanos,
            boolean stream) {}

    /** A tenant and the requests per second, over all routers, that lie within its share. */
    public record Tenant(String name, double quotaPerSecond, double fraction) {}

    /** What the site permits. Times are in nanoseconds. */
    public record Limits(
            int attempts,
            boolean duplicates,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            long maxRetryAfterNanos,
            long connectTimeoutNanos,
            int streamsPerConnection) {}

    /** The figures of the rules. Times are in nanoseconds. */
    public record Rules(
            long drainGraceNanos,
            long askWithinNanos,
            double startCapacity,
            long coldNanos,
            double overloadFactor,
            long fallNanos,
            long answerSlackNanos) {
        /** The part of its capacity that a member is stated to have so long after its start; 0 is long ago. */
        public double warmth(long upSinceNanos, long now) {
            double age = Math.max(0, now - upSinceNanos);
            if (upSinceNanos == 0 || age >= coldNanos) {
                return 1;
            }
            return startCapacity + (1 - startCapacity) * age / coldNanos;
        }
    }

    /** All that an instance is told at start; {@code originKind} is -1 where no member is an origin. */
    public record Settings(
            int me,
            int routers,
            int zone,
            long tickNanos,
            boolean askedDiscovery,
            CacheMode mode,
            int originKind,
            double overShareWorth,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules) {
        /** Copies the lists, so that settings never change. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /** Whether a request's tenant has a share; where no tenants are listed, all requests are within it. */
        boolean lists(int tenant) {
            return tenant < tenants.size() || tenants.isEmpty();
        }

        /** After so long no answer can be in time any more, whatever the class. */
        public long longestAnswerNanos() {
            return classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0) + rules.answerSlackNanos();
        }
    }

    /** An entry of the member list; {@code upSinceNanos} is 0 for a start in the distant past. */
    public record Member(long id, int zone, int kind, int cell, MemberState state, double rating, long upSinceNanos) {
        boolean isReady() {
            return state == MemberState.READY;
        }

        boolean isGone() {
            return state == MemberState.GONE;
        }

        Member gone() {
            return new Member(id, zone, kind, cell, MemberState.GONE, rating, upSinceNanos);
        }
    }

    /** Something that happened to this router. */
    public sealed interface Event {}

    /** The instance begins; always its first event. */
    public record Started() implements Event {}

    /** Discovery reports. */
    public record MembersChanged(ListKind kind, List<Member> members) implements Event {}

    /** A client asks; the router now owes it one final answer within {@code ttlNanos}. A key of 0 is none. */
    public record RequestArrived(
            long request,
            long key,
            int tenant,
            int requestClass,
            boolean write,
            boolean repeated,
            long workHintNanos,
            long ttlNanos)
            implements Event {}

    /** The answer of a streamed request has begun. */
    public record StreamEstablished(long request, long member, int attempt) implements Event {}

    /** An attempt ended; {@code fetching} tells of a miss whose key another request fetches already. */
    public record AttemptEnded(
            long request,
            long member,
            int attempt,
            Outcome outcome,
            boolean fetching,
            boolean concluded,
            long durationNanos)
            implements Event {}

    /** The client has left; nothing is owed any more. */
    public record ClientGone(long request) implements Event {}

    /** A timer set earlier is due. */
    public record TimerFired(int tag) implements Event {}

    /** A probe ended. */
    public record ProbeEnded(long member, Outcome outcome, long durationNanos) implements Event {}

    /** Another router of this tier sent a message. */
    public record PeerMessage(int from, byte[] payload) implements Event {}

    /**
     * Another process of this router has its supply, or has it no longer: while it rests, an instance accrues and moves
     * nothing; when that is over it joins the ring as one that has just started.
     */
    public record Rests(boolean rests) implements Event {}

    /** What the tier of routers knows in common of one of them. */
    public enum Sight {
        /** Nothing: its silence alone tells. */
        UNKNOWN,
        /** Somebody hears it. */
        THERE,
        /** It ended, or nobody hears it any more. */
        GONE
    }

    /** What a router may use of the budgets, by how far it trusts what it sees of the others. */
    public enum Trust {
        /** What is its own, and what it has inherited. */
        FULL,
        /** What is its own: whom it does not hear may be there. */
        OWN,
        /** Nothing: others may use what is its own. */
        NONE
    }

    /** What the tier knows of another router, and how far this one trusts what it sees of the others. */
    public record TierSeen(int peer, Sight sight, Trust trust) implements Event {}

    /** Other classes, limits and rules are in force from now on; who the routers and tenants are has not changed. */
    public record Retuned(Settings settings) implements Event {}

    /** Something this router is to do. */
    public sealed interface Action {}

    /**
     * Begin an attempt; a time-out of 0 runs to the client's deadline. An attempt that is not sent whole by
     * {@code sentByNanos}, on the module's clock, must not be sent at all: its repeats are dropped no longer.
     */
    public record Send(long request, long member, long timeoutNanos, long sentByNanos) implements Action {
        /** Of an attempt that may be sent as long as it lasts. */
        public static final long ANY_TIME = Long.MAX_VALUE;
    }

    /** Stop waiting for an attempt. */
    public record Cancel(long request, int attempt) implements Action {}

    /** Final answer: not served, and trying again is harmless. */
    public record Refuse(long request, long retryAfterNanos) implements Action {}

    /** Final answer: not served, nothing promised. */
    public record Fail(long request) implements Action {}

    /** Set a timer. */
    public record SetTimer(int tag, long delayNanos) implements Action {}

    /** Examine a member. */
    public record Probe(long member) implements Action {}

    /** Close this router's idle connections to a member. */
    public record CloseIdle(long member) implements Action {}

    /** Send a message of at most 256 bytes to another router. */
    public record TellPeer(int to, byte[] payload) implements Action {}

    /** Subscribe to list changes; answered by one {@link MembersChanged}. */
    public record Subscribe() implements Action {}

    /** A line for the operators' log. */
    public record Log(String text) implements Action {}

    /**
     * What a router holds of the origin's budget, in parts of the whole.
     *
     * @param joined whether it uses its supply; one that has just started does not yet, and its books may still be away
     * @param own its own supply, by its books
     * @param usable what it may use now, with what it has inherited
     * @param rate the whole budget as this router knows it, fetches a second
     * @param demand what is asked for here, fetches a second
     */
    public record Holding(boolean joined, double own, double usable, double rate, double demand) {
        Holding(Account account, boolean joined) {
            this(
                    joined,
                    joined ? (double) account.own() / Account.WHOLE : 0,
                    joined ? (double) account.held() / Account.WHOLE : 0,
                    account.rate,
                    account.demand.perSecond());
        }
    }
}
