/**
 * Which servers the farm consists of, as Kubernetes tells it by EndpointSlices: joins the slices of a service into one
 * list that no older view, no late event and no repacking can spoil. It knows neither sockets nor clocks, every time is
 * handed in.
 *
 * <p>It may use nothing of this project. It is used by the source that reads the API, by the snapshot, and by whoever
 * hosts the same rules elsewhere.
 */
package slateseam.router.membership;
