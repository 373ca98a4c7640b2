package slateseam.router.membership;

/**
 * Something that the operators should read.
 *
 * @param kind of the line, from a fixed set
 * @param text one line
 */
public record Note(String kind, String text) {}
