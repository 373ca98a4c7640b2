package slateseam.simulate.network;

/** Whose side of a connection it is, and so who hears what happens there. */
interface Owner {
    /** The connection that was begun here is up. */
    void up();

    /** It will never be up. */
    void failed();

    /** Bytes have come, or the other side's end. */
    void inputChanged();

    /** There is room again after there was none. */
    void roomCame();

    /** The other side broke it off. */
    void broke();
}
