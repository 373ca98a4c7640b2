/**
 * Plays a scenario on several real processes of the program: routers as they are deployed, stand-ins on real sockets, a relay in
 * each way between two routers, faults at their times, and checks from outside.
 *
 * <p>It may use the simulation's scenarios and fleet, the stand-ins, and of the router nothing but what reads a configuration. It
 * is used by the command line alone, which loads it when it is named; {@code serve} loads nothing of it.
 */
package slateseam.trial;
