package slateseam.router.snapshot;

/**
 * What reading a snapshot came to.
 *
 * @param finding what was found
 * @param content what it holds; null unless it is good
 * @param writtenAtNanos when what it holds was known, Unix nanoseconds; 0 unless it is good
 * @param text one line for the operators' log
 */
public record Found(Finding finding, Content content, long writtenAtNanos, String text) {}
