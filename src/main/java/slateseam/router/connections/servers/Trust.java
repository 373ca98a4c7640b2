package slateseam.router.connections.servers;

/** Whether the bytes received as an answer to the first outstanding use are taken for it. */
public enum Trust {
    /** The answer is taken as it is: nothing sent on the connection earlier can still be answered. */
    BELIEVE,
    /** The answer is held until the reply to a fence command, written behind it, shows that it is no surplus reply. */
    VERIFY,
    /** The answer cannot be told from a surplus reply: the use ends as one that may have been executed. */
    REJECT
}
