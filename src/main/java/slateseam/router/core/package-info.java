/**
 * Holds each request in a numbered slot, translates what happens in the router into events for the decision module,
 * and carries out the actions that the module returns. This package makes no decisions itself.
 *
 * <p>It may use the decision module, the request package, and the packages that carry out actions. Only the router
 * uses it directly; other stages reach it through the interfaces of the request and pass packages.
 */
package slateseam.router.core;
