package slateseam.standin.kubernetes;

/**
 * Holds a script up until so many watches are open, so that what follows meets them however long that took. All later
 * times count from then on.
 */
record Await(int watches) implements Command {
    boolean isMet(ApiServer server) {
        return server.openWatches() >= watches;
    }

    @Override
    public void run(ApiServer server) {
        // Whoever plays the script waits.
    }
}
