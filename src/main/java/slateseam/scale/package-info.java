/**
 * Scale runs: many hollow routers in one process beside a few real ones. A hollow router runs the shipped control code (members, log
 * and policy, the ring's supply, discovery's watch) over real sockets of loopback, without the data path. What is measured is what
 * the real processes spend and how long they take.
 *
 * <p>It may use the router's parts, the decision module, the stand-ins, and of {@code trial} what starts processes and carries
 * datagrams. It is used by the command line alone, which loads it when it is named.
 */
package slateseam.scale;
