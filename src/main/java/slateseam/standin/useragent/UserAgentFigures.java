package slateseam.standin.useragent;

/**
 * One process of a user agent.
 *
 * @param name of the process
 * @param address of its machine, without a port
 * @param router the address of the router beside it; null where a front deals connections out
 * @param rate first tries a second, on the mean
 * @param heeds whether it comes back when an answer tells, and not sooner
 */
public record UserAgentFigures(String name, String address, String router, double rate, boolean heeds) {}
