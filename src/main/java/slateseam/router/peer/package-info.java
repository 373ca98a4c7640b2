/**
 * Datagrams between routers.
 *
 * <p>It may use the form of the decision module's messages, network. It is used by the core, which sends them.
 */
package slateseam.router.peer;
