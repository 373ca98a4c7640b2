/**
 * Stand-ins of what a router meets, as pure state machines: application servers, the origin and discovery's agent.
 *
 * <p>They own no sockets, threads, clocks or sources of random numbers: {@link slateseam.standin.Clockwork},
 * {@link slateseam.standin.Net}, a source and a {@link slateseam.standin.Witness} are handed in, so that one model runs
 * on a virtual network or on real sockets. It may use org.json and commons-rng, and nothing else of this project. It is
 * used by the tools that simulate or serve the stand-ins; the router does not know it.
 */
package slateseam.standin;
