package slateseam.standin.kubernetes;

/** Where a watch is cut off, within the next event that it is told. */
public enum Cut {
    /** In the middle of the event. */
    OBJECT,
    /** Behind the first digit of the chunk's length. */
    HEAD,
    /** Within the first letter of more than one byte, or in the middle if there is none. */
    LETTER;

    int place(byte[] chunks) {
        if (this == HEAD) {
            return 1;
        }
        for (int i = 0; this == LETTER && i < chunks.length; i++) {
            if ((chunks[i] & 0xc0) == 0x80) {
                return i;
            }
        }
        return chunks.length / 2;
    }
}
