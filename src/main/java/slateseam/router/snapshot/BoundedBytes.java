package slateseam.router.snapshot;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Bytes up to a bound; what goes beyond it ends the writing. */
final class BoundedBytes extends OutputStream {
    /** There is more than may be written. */
    static final class TooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        TooLargeException(int most) {
            super("over " + most + " bytes");
        }
    }

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final int most;

    BoundedBytes(int most) {
        this.most = most;
    }

    @Override
    public void write(int b) throws IOException {
        write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] from, int offset, int length) throws IOException {
        if (length > most - bytes.size()) {
            throw new TooLargeException(most);
        }
        bytes.write(from, offset, length);
    }

    byte[] all() {
        return bytes.toByteArray();
    }
}
