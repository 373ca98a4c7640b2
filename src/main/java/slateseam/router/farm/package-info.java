/**
 * The farm as discovery tells it, by a watch that always has a call out.
 *
 * <p>It may use configuration, network. It is used by the core, passes, the router.
 */
package slateseam.router.farm;
