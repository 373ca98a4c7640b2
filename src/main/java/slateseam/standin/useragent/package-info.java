/**
 * Stand-ins of user agents, as pure state machines: those that behave, those that do not, and the count of how they
 * were served.
 *
 * <p>They own no sockets, threads, clocks or sources of random numbers; all of it is handed in. It may use the
 * interfaces of the stand-ins, commons-rng and HdrHistogram. It is used by the tools that simulate or serve the
 * stand-ins; the router does not know it.
 */
package slateseam.standin.useragent;
