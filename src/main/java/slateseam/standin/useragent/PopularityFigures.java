package slateseam.standin.useragent;

/**
 * Which keys are asked for.
 *
 * @param keys that are asked for at one time, 1 to 10 million
 * @param exponent of the Zipf law, 0 to 3
 * @param offset added to each rank, 0 to 1,000, which flattens the top
 * @param drift the part of the ranks that goes to a new key each second, 0 to 1
 * @param salt makes the keys of one day others than those of the next
 */
public record PopularityFigures(int keys, double exponent, double offset, double drift, long salt) {}
