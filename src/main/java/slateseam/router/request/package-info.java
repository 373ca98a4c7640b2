/**
 * A request as every stage sees it, its one answer, how it ended, and the interfaces between ways in and core.
 *
 * <p>It may use the decision module's form of settings. It is used by the ways in, the core, passes, and the features
 * that watch requests.
 */
package slateseam.router.request;
