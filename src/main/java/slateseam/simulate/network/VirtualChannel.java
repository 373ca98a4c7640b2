package slateseam.simulate.network;

/** What the channels have in common. */
interface VirtualChannel {
    /** What it is ready for. */
    Readiness readiness();

    /**
     * Its close takes full effect. As on the system's network, the close of a channel that is registered has to wait
     * for the next selection: until then a connection has only ended its sending.
     */
    void release();

    /** Its process has been killed: it goes without what a close would do. */
    void kill();
}
