package slateseam.decision;

import java.util.List;

/**
 * The interface of the decision module: the settings and events that a router passes to a {@link Brain}, and the
 * actions that it gets back. Requests are identified by numbers that the router assigns, members by the ids of the
 * member list. Times are in nanoseconds.
 */
public final class Api {
    private Api() {}

    /** The effect of running a request more than once. */
    public enum Effect {
        /** The request may be repeated at any time. */
        PURE,
        /** The request carries a key by which a group of members drops repeats for a limited time. */
        TOKEN,
        /** The request must not run twice. */
        SIDE_EFFECT
    }

    /** The members that drop repeats of a {@link Effect#TOKEN} request together. */
    public enum Group {
        /** All members: a repeat is dropped wherever it is sent. */
        ALL,
        /** The members of one zone. */
        ZONE,
        /** The members of one cell. */
        CELL
    }

    /** How a site handles a key that its cache server does not hold. */
    public enum CacheMode {
        /** The cache server reports a miss, and the router fetches the value from the origin. */
        ASIDE,
        /** The cache server fetches the value by itself. */
        THROUGH
    }

    /** The state of a member's process as reported by discovery. */
    public enum MemberState {
        /** The process has ended. */
        GONE,
        /** The process serves requests. */
        READY,
        /** The process is about to end and must get no new requests. */
        DRAINING
    }

    /** The meaning of the members in a {@link MembersChanged}. */
    public enum ListKind {
        /** Only the members whose entries have changed. */
        DELTA,
        /** The complete list from discovery; members that it does not contain are gone. */
        FULL,
        /** A complete list that does not come from a successful call of discovery. */
        CACHED,
        /** No list: the call of discovery has failed. */
        FAILED
    }

    /** How an attempt ended. */
    public enum Outcome {
        /** The member served the request. */
        OK(false),
        /** The member answered with an error. */
        ERROR(false),
        /** The member refused the request because it is overloaded. */
        FULL(true),
        /** The attempt was sent but not answered in time. */
        TIMEOUT(false),
        /** No connection to the member could be established. */
        CONNECT_FAILED(true),
        /** The connection ended before the answer was complete. */
        RESET(false),
        /** The attempt was cancelled after it had been sent. */
        CANCELLED(false),
        /** The attempt was abandoned before anything was sent, for a reason other than the connection. */
        MOOT(true),
        /** The cache server does not hold the key. */
        MISS(true),
        /**
         * The attempt's time ran out before the request was written completely, because the connection took too long to
         * come up. Occurs with real sockets only.
         */
        UNSENT(true),
        /** The member answered, but the answer cannot be parsed. Occurs with real sockets only. */
        SPOILT(false);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /**
         * Returns whether this outcome concerns a single answer or connection and is no evidence against the member: a
         * member that is down refuses the next connection.
         */
        public boolean isMishap() {
            return this == SPOILT || this == RESET;
        }

        /** Returns whether this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of requests with common goals.
     *
     * @param aimNanos the time after arrival within which an answer has its full worth
     * @param deadlineNanos the time after arrival beyond which an answer is useless
     * @param worth the worth of an answer, relative to other classes
     * @param lateShare the fraction of its worth that an answer after {@code aimNanos} still has
     * @param effect the effect of repeating a request of this class
     * @param group the members that drop repeats of a {@link Effect#TOKEN} request
     * @param windowNanos the time for which they drop repeats
     * @param stream whether answers are streamed
     */
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

    /**
     * A tenant.
     *
     * @param quotaPerSecond the tenant's share: requests per second over all routers
     * @param fraction the share as a fraction
     */
    public record Tenant(String name, double quotaPerSecond, double fraction) {}

    /**
     * The operations that a site permits, and their limits.
     *
     * @param attempts the maximum number of attempts for a request, the first included
     * @param duplicates whether two attempts of a request may be in progress together
     * @param cancel whether attempts may be cancelled
     * @param probes whether members may be probed
     * @param peers whether routers may send messages to each other
     * @param retryAfter whether a refusal may state when to retry
     * @param maxRetryAfterNanos the longest such time
     * @param connectTimeoutNanos the time after which a connection that is not established counts as failed
     * @param streamsPerConnection the maximum number of requests in progress on a connection
     */
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

    /**
     * Figures of the rules that a router must keep.
     *
     * @param drainGraceNanos the time after the start of a drain by which the member must get no new requests
     * @param startCapacity the fraction of its capacity that a member has when it starts
     * @param coldNanos the time after its start at which a member has its full capacity
     * @param overloadFactor the multiple of its present capacity that makes a cold member fail
     * @param fallNanos the period over which a cold member's requests are counted against that limit
     * @param answerSlackNanos the time after a request's deadline by which its final answer may be late
     */
    public record Rules(
            long drainGraceNanos,
            long askWithinNanos,
            double startCapacity,
            long coldNanos,
            double overloadFactor,
            long fallNanos,
            long answerSlackNanos) {
        /**
         * Returns the fraction of its capacity, from 0 to 1, that a member is assumed to have at a time. The fraction
         * rises linearly from {@code startCapacity} to 1 over {@code coldNanos}.
         *
         * @param upSinceNanos the member's start; 0 for a start in the distant past
         */
        public double warmth(long upSinceNanos, long now) {
            double age = Math.max(0, now - upSinceNanos);
            if (upSinceNanos == 0 || age >= coldNanos) {
                return 1;
            }
            return startCapacity + (1 - startCapacity) * age / coldNanos;
        }
    }

    /**
     * The settings of an instance.
     *
     * @param me the number of this router, counted from 0
     * @param routers the number of routers in the tier
     * @param zone the zone of this router
     * @param tickNanos the shortest period of housekeeping that the host asks for
     * @param askedDiscovery whether the member list must be asked for; else it is pushed
     * @param mode how misses are handled
     * @param originKind the {@link Member#kind} of origins; -1 if no member is an origin
     * @param overShareWorth the worth of an answer beyond the tenant's share, as a fraction of that of one within
     * @param classes the classes of requests, in the order of {@link RequestArrived#requestClass}
     * @param tenants the tenants, in the order of {@link RequestArrived#tenant}
     */
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
        /** Copies the lists, so that the settings are immutable. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /** Returns whether a tenant is listed. If no tenants are listed at all, every tenant counts as listed. */
        boolean isListed(int tenant) {
            return tenant < tenants.size() || tenants.isEmpty();
        }

        /** Returns the time after the arrival of a request at which its final answer is due in any class. */
        public long longestAnswerNanos() {
            return classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0) + rules.answerSlackNanos();
        }
    }

    /**
     * An entry of the member list: a cache server or an origin.
     *
     * @param zone the zone of the member
     * @param kind the kind of server; see {@link Settings#originKind}
     * @param cell the cell of the member
     * @param rating the capacity of the member relative to the others
     * @param upSinceNanos the time of the member's start on the module's clock; 0 for a start in the distant past
     */
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

    /** An input of the module: something that happened at this router. */
    public sealed interface Event {}

    /** The instance starts. This is always its first event. */
    public record Started() implements Event {}

    /** Discovery reported members, or a failed call. */
    public record MembersChanged(ListKind kind, List<Member> members) implements Event {}

    /**
     * A client sent a request, which must get exactly one final answer within {@code ttlNanos}.
     *
     * @param request the number of the request, assigned by the router
     * @param key the hash of the key; 0 for a request without a key
     * @param tenant the index of the tenant in the settings; a larger number stands for a tenant that is not listed
     * @param requestClass the index of the class in the settings
     * @param repeated whether the client has sent the request before
     * @param workHintNanos the stated cost of the request; 0 if it is unknown
     */
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

    /** The answer of a streamed request has begun to arrive. */
    public record StreamEstablished(long request, long member, int attempt) implements Event {}

    /**
     * An attempt ended.
     *
     * @param attempt the number of the attempt within its request, counted from 0
     * @param fetching whether the attempt was a miss and the key is already being fetched for another request
     * @param concluded whether the attempt gave the client its final answer
     */
    public record AttemptEnded(
            long request,
            long member,
            int attempt,
            Outcome outcome,
            boolean fetching,
            boolean concluded,
            long durationNanos)
            implements Event {}

    /** The client has disconnected, and the request needs no answer any more. */
    public record ClientGone(long request) implements Event {}

    /** A timer that was set with {@link SetTimer} has expired. */
    public record TimerFired(int tag) implements Event {}

    /** A probe has ended. */
    public record ProbeEnded(long member, Outcome outcome, long durationNanos) implements Event {}

    /** A message arrived from another router of this tier. */
    public record PeerMessage(int from, byte[] payload) implements Event {}

    /**
     * Suspends or resumes the use of this router's supply. It is suspended while another process of the same router
     * uses the supply, as in a planned restart. A suspended instance neither accrues nor moves supply; when resumed,
     * the instance joins the ring like one that has just started.
     *
     * @param rests true to suspend, false to resume
     */
    public record Rests(boolean rests) implements Event {}

    /** The state of a router according to the tier's membership protocol. */
    public enum Sight {
        /** Nothing is known; only missing messages can show that the router is gone. */
        UNKNOWN,
        /** At least one router receives messages from this router. */
        THERE,
        /** The router has ended, or no other router receives messages from it. */
        GONE
    }

    /** The supply that a router may use, depending on how reliable its view of the other routers is. */
    public enum Trust {
        /** Its own supply and the supply inherited from neighbours that are gone. */
        FULL,
        /** Its own supply only: a router from which no messages arrive may be alive. */
        OWN,
        /** No supply: other routers may have inherited this router's own. */
        NONE
    }

    /**
     * The tier's view of another router has changed.
     *
     * @param peer the number of the other router
     * @param sight the state of the other router
     * @param trust the supply that this router may use as long as its view is as reliable as it is now
     */
    public record TierSeen(int peer, Sight sight, Trust trust) implements Event {}

    /** New classes, limits and rules are in force from now on. The routers and the tenants are unchanged. */
    public record Retuned(Settings settings) implements Event {}

    /** An output of the module: something that this router must do. */
    public sealed interface Action {}

    /**
     * Begin an attempt.
     *
     * @param timeoutNanos the time after which the attempt ends; 0 for the client's deadline
     * @param sentByNanos the time, on the module's clock, by which the request must be sent completely; later it must
     *     not be sent at all, because the members may no longer drop it as a repeat
     */
    public record Send(long request, long member, long timeoutNanos, long sentByNanos) implements Action {
        /** The value of {@code sentByNanos} for an attempt that may be sent at any time before it ends. */
        public static final long ANY_TIME = Long.MAX_VALUE;
    }

    /** Cancel an attempt, whose result is not needed any more. */
    public record Cancel(long request, int attempt) implements Action {}

    /** Give the final answer that the request was not served and that repeating it is harmless. */
    public record Refuse(long request, long retryAfterNanos) implements Action {}

    /** Give the final answer that the request was not served, although it may have taken effect. */
    public record Fail(long request) implements Action {}

    /** Set a timer, which is reported as {@link TimerFired} with the same tag. */
    public record SetTimer(int tag, long delayNanos) implements Action {}

    /** Probe a member; answered by {@link ProbeEnded}. */
    public record Probe(long member) implements Action {}

    /** Close this router's idle connections to a member. */
    public record CloseIdle(long member) implements Action {}

    /** Send a message of at most 256 bytes to another router. */
    public record TellPeer(int to, byte[] payload) implements Action {}

    /** Ask discovery for changes of the member list; answered by one {@link MembersChanged}. */
    public record Subscribe() implements Action {}

    /** Write a line to the operators' log. */
    public record Log(String text) implements Action {}

    /**
     * A router's part of the origin's budget.
     *
     * @param joined whether the router uses its supply; a router that has just started does not, and may not have
     *     received its ledgers from its neighbours yet
     * @param own the router's own supply according to its ledgers, as a fraction of the whole budget
     * @param usable the supply that the router may use now, inherited supply included, as a fraction of the whole
     *     budget
     * @param rate the whole budget as known to this router, in fetches per second
     * @param demand the demand at this router, in fetches per second
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
