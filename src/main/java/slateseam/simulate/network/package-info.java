/**
 * A virtual network under a virtual clock: machines, streams and datagrams between them, and channels of
 * {@code java.nio} that live on it, so that an unchanged program and stand-ins meet on one timeline.
 *
 * <p>It may use {@code standin}'s interfaces and commons-rng, and nothing else of this project. It is used by the
 * simulation, which says what runs on it; the router does not know it. All of it belongs to one thread.
 */
package slateseam.simulate.network;
