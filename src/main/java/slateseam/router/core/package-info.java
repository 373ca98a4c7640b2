/**
 * Holds each request in a numbered slot, turns happenings into the decision module's events and carries out its
 * actions. Decides nothing.
 *
 * <p>It may use the decision module, requests, and those who carry its actions out. It is used by the router only;
 * other stages reach it through the interfaces of requests and passes.
 */
package slateseam.router.core;
