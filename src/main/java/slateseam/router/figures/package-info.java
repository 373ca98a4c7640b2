/**
 * Counters, gauges and timers for a collector; watches what is told of requests that have ended.
 *
 * <p>It may use requests, network. It is used by the router, where the operators have turned it on.
 */
package slateseam.router.figures;
