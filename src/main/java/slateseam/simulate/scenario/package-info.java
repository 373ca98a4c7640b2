/**
 * Scenario files: what a simulated tier is made of and what befalls it, the days that are drawn from them by a seed,
 * and the streams of random numbers.
 *
 * <p>It may use the figures' records of the stand-ins, org.json and commons-rng, and nothing of the router: what it
 * hands a router is the text of a configuration. It is used by the tools that simulate or serve a tier.
 */
package slateseam.simulate.scenario;
