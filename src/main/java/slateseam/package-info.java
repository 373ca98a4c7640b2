/**
 * The command line. Each command loads what it needs when it runs.
 *
 * <p>It may use everything. It is used by nobody; it is where a process starts.
 */
package slateseam;
