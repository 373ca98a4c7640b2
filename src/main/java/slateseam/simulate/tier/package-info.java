/**
 * What the routers' tier decides, played among many on a virtual clock without a network: thousands of seeds, up to a thousand members.
 *
 * <p>It may use the tier's modules. It is used by the simulation's command and by tests.
 */
package slateseam.simulate.tier;
