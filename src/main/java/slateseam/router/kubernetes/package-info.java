/**
 * The farm as Kubernetes tells it: lists and watches EndpointSlices on the loop, reads them step by step, and hands
 * what membership makes of them to the farm.
 *
 * <p>It may use configuration, farm, membership, network, TLS. It is used by the router, and by the command line to
 * look once; without its settings no class of it is loaded.
 */
package slateseam.router.kubernetes;
