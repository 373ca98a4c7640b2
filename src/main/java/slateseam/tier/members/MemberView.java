package slateseam.tier.members;

import java.net.InetSocketAddress;

/**
 * A snapshot of one member as this router sees it.
 *
 * @param name the router name of the member, or its id in hexadecimal if the name is not known
 * @param number the number in the list of peers; -1 if it is not known
 * @param place the address at which the member is reached
 * @param state the state of the member
 * @param reach how this router knows that the member is alive
 * @param life the start time of the member's process in Unix milliseconds, as announced by the member itself
 * @param incarnation the number of refuted suspicions in this life, by the member itself or by a member that hears it
 * @param sinceNanos the time at which the member entered its state in this router's view
 * @param by the name of the router that reported the state
 * @param heardNanos the time at which the last message of the member arrived here; 0 if none has arrived
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
