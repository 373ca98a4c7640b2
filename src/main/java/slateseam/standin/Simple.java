package slateseam.standin;

/** A request that is answered without work. */
final class Simple extends Exchange {
    private final byte[] reply;

    Simple(Link link, boolean last, byte[] reply) {
        super(link, last);
        this.reply = reply;
    }

    void give() {
        answer(reply);
    }
}
