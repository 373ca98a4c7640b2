package slateseam.standin;

/**
 * What the application servers and the origin of one fleet share.
 *
 * @param archive versions and values
 * @param copies brings values to servers and voids them
 * @param receipts keys of keyed writes
 */
public record Shared(Archive archive, Copies copies, Receipts receipts) {}
