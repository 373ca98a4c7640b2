package slateseam.scale;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Addresses of loopback that one run has for itself, each with a free port. */
final class Places {
    private static final int FIRST_NET = 64;
    private static final int NETS = 64;
    private static final int HOSTS = 250;

    private final int net;

    /** By the process's id, so that two runs at once hardly ever meet; if they do, a port that is taken says so. */
    Places() {
        net = FIRST_NET + (int) (ProcessHandle.current().pid() % NETS);
    }

    private InetAddress host(int router) throws IOException {
        return InetAddress.getByAddress(
                new byte[] {127, (byte) net, (byte) (router / HOSTS), (byte) (1 + router % HOSTS)});
    }

    /** Where a router listens for datagrams. */
    InetSocketAddress datagrams(int router) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, host(router))) {
            return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
        }
    }

    /** Where a router listens for connections, a further place at each call. */
    InetSocketAddress connections(int router) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host(router))) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
