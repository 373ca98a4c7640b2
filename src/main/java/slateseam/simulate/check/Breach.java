package slateseam.simulate.check;

/**
 * A rule that was broken.
 *
 * @param rule which
 * @param nanos when, in Unix time
 * @param router the router's name; empty where no one router did it
 * @param request the request's id; empty where it concerns none
 * @param text what was seen, on one line
 */
public record Breach(Rule rule, long nanos, String router, String request, String text) {}
