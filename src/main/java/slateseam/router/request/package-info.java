/**
 * The model of a request that all stages share: the request, its final answer and its ending, and the interfaces
 * between the fronts and the core.
 *
 * <p>It may use the settings types of the decision module. It is used by the fronts, the core, passes, and the
 * features that observe requests.
 */
package slateseam.router.request;
