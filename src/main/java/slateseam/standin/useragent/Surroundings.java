package slateseam.standin.useragent;

import java.util.List;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.ValueFigures;

/**
 * What all user agents of a day have in common.
 *
 * @param net where they connect
 * @param clock time and timers
 * @param outcomes is told what became of requests
 * @param classes of requests, at least one
 * @param tenants of the service; may be empty
 * @param habits how they behave
 * @param rate how often they ask
 * @param popularity what they ask for
 * @param values how much they write
 * @param asks whether a process asks an arrival of its own, by the process's name and the arrival's number
 * @param begin of the day, in Unix time in nanoseconds
 * @param durationNanos for how long they ask
 */
public record Surroundings(
        Net net,
        Clockwork clock,
        Outcomes outcomes,
        List<ClassFigures> classes,
        List<TenantFigures> tenants,
        Habits habits,
        RateFigures rate,
        Popularity popularity,
        ValueFigures values,
        Asks asks,
        long begin,
        long durationNanos) {
    /** Chooses the arrivals that are asked. */
    @FunctionalInterface
    public interface Asks {
        /** All of them. */
        Asks ALL = (userAgent, number) -> true;

        /** Whether this one is. */
        boolean test(String userAgent, int number);
    }
}
