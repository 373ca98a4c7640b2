/**
 * Plays the whole tier on a virtual clock: the unchanged routers on a virtual network, stand-ins for all that they
 * meet, faults, and a checker that looks after every step. One seed is one thread and one run that can be played
 * again.
 *
 * <p>It may use all of the simulation's packages, the stand-ins and the router. It is used by the command line alone,
 * which loads it when it is named.
 */
package slateseam.simulate;
