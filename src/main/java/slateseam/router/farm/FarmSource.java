package slateseam.router.farm;

/** Tells what the farm is. */
public interface FarmSource {
    /** Begins to follow the farm; a source that does so already is left alone. */
    void begin();
}
