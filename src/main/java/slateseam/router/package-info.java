/**
 * One router: creates and connects its stages, and shuts them down in order.
 *
 * <p>It may use every package below it. It is used by the command line, and by tools that run routers in their own
 * process.
 */
package slateseam.router;
