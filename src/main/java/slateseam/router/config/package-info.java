/**
 * What a router is told: the platform's configuration and the operators' own settings file.
 *
 * <p>It may use the decision module's form of settings, the clock. It is used by the router and whoever must know its
 * settings.
 */
package slateseam.router.config;
