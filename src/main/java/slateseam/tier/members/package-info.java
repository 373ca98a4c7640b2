/**
 * Membership of the tier of routers by gossip: which routers are alive, suspect, failed or gone, in which life, and
 * who hears whom.
 *
 * <p>The package does no I/O and reads no clock: callers pass in datagrams and the time, and receive the datagrams to
 * send and the changes of the view. It depends on no other package of the program; both the tier module of the router
 * and the simulator use it. The design is described in docs/design/members.md.
 */
package slateseam.tier.members;
