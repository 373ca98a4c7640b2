package slateseam.tier.members;

import java.net.InetSocketAddress;

/**
 * A member as one router sees it.
 *
 * @param number among the routers' peers; -1 if nobody has said
 * @param life when it started, in Unix milliseconds, as it says itself
 * @param incarnation counts how often it, or one who hears it, answered a suspicion in this life
 * @param sinceNanos when it came to this state here
 * @param by the name of who said so
 * @param heardNanos when its last message came here; 0 for never
 */
public record MemberView(
        String name,
        int number,
        InetSocketAddress place,
        State state,
        Reach reach,
        long life,
        int incarnation,
        long sinceNanos,
        String by,
        long heardNanos) {}
