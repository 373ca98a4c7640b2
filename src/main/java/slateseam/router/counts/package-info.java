/**
 * The figures of the second address: plain counters, each raised once, where a thing ends or is written whole.
 *
 * <p>It uses requests. It is used by the router, and asked by the second address.
 */
package slateseam.router.counts;
