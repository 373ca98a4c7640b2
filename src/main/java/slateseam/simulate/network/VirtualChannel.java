package slateseam.simulate.network;

/** What the channels have in common. */
interface VirtualChannel {
    /** What it is ready for. */
    Readiness readiness();

    /** Its process has been killed: it goes without what a close would do. */
    void kill();
}
