/**
 * The dialect for batches: many reads in one command, answered in one reply.
 *
 * <p>It may use the user agent, request and network packages. It is used by the router if the operators have turned
 * the feature on.
 */
package slateseam.router.multiget;
