/**
 * What a router knows of the farm, kept in a file over its restarts: written off the loop, replaced whole, and never
 * used unless it is whole, its own and young enough.
 *
 * <p>It may use membership, whose memory it keeps. It is used by the router and the sources of the farm, where the
 * operators named a folder; without one no class of it is loaded.
 */
package slateseam.router.snapshot;
