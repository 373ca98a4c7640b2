/**
 * Checks the rules that a router keeps, from outside: it sees the bytes on the wires and what the stand-ins ran, and
 * it reads both with parsers of its own, so that a fault of the router's cannot hide itself.
 *
 * <p>It may use the observer of the virtual network, the witness of the stand-ins, org.json. It is used by the
 * simulation.
 */
package slateseam.simulate.check;
