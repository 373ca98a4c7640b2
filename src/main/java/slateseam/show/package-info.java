/**
 * Shows what a router of a configuration would take the farm for now, and looks whether the files that a configuration
 * names can be used.
 *
 * <p>It may use the router's configuration, farm, membership, network and source of EndpointSlices. It is used by the
 * command line.
 */
package slateseam.show;
