/**
 * The code that each request goes through, run on made-up requests before the router takes any, so that the virtual machine
 * has compiled it by then. Without sockets, files or threads.
 *
 * <p>It may use the stages of a request. It is used by the command line.
 */
package slateseam.router.warmup;
