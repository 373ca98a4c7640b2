/**
 * The loop, its deadlines, connections, numbered slots, the parsers, the log and the console.
 *
 * <p>It may use nothing of this project. It is used by every stage of a router.
 */
package slateseam.router.net;
