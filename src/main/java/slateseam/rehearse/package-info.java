/**
 * A rehearsal of the router's service, for the build: what is loaded then is kept in an archive, from which each start reads
 * it in a fraction of the time.
 *
 * <p>It may use the router. It is used by the command line alone.
 */
package slateseam.rehearse;
