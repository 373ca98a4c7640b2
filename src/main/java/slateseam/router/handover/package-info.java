/**
 * An upgrade: two processes of one router, of which one takes over. {@code Succession} settles who does what, without I/O;
 * {@code Handover} is what the two tell each other by files of a folder that they share.
 *
 * <p>It may use the locks of files. It is used by the router alone.
 */
package slateseam.router.handover;
