/**
 * One router: puts the stages together and ends them in order.
 *
 * <p>It may use every package below it. It is used by the command line, and tools that run routers in their own
 * process.
 */
package slateseam.router;
