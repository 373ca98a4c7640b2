/**
 * The farm as its source tells it, and one of these: discovery, by a watch that always has a call out.
 *
 * <p>It may use configuration, network. It is used by the core, passes, other sources, the router.
 */
package slateseam.router.farm;
