package slateseam.standin.useragent;

/**
 * A tenant as user agents see it.
 *
 * @param name as requests tell it
 * @param fraction its part of the service, 0 to 1
 * @param asks its part of what is asked for; parts need not add up to 1
 * @param limit requests a second, over all routers, within its share
 */
public record TenantFigures(String name, double fraction, double asks, double limit) {}
