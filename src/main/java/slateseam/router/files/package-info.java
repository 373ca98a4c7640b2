/**
 * What those who keep files share.
 *
 * <p>It uses nothing of the router. It is used by upgrades and snapshots.
 */
package slateseam.router.files;
