package slateseam.simulate.network;

/** Addresses as text, "10.0.3.1:6379". */
final class Addresses {
    private static final int LAST_PORT = 65_535;

    private Addresses() {}

    /** The IP, with or without a port behind it. */
    static String ip(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    /**
     * The port.
     *
     * @throws IllegalArgumentException if there is none
     */
    static int port(String address) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= LAST_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new IllegalArgumentException(address + " is no address and port");
    }
}
