/**
 * A stand-in of the Kubernetes API server as far as EndpointSlices go: a model of a cluster's pods, services and
 * slices, lists and watches over HTTP/1.1, faults, and scripts that change and trouble it at set times.
 *
 * <p>It is a pure state machine like the other stand-ins and owns no socket, thread, clock or source of random numbers.
 * It may use {@code slateseam.standin} and org.json, and nothing else of this project. It is used by tests and by the
 * tools that simulate or serve stand-ins; the router does not know it.
 */
package slateseam.standin.kubernetes;
