package slateseam;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Servers and user agents on loopback sockets, each connection on a thread of its own; all end with this. */
final class LoopbackServers implements AutoCloseable {
    private static final int BACKLOG = 512;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<ServerSocket> listeners = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean over;

    /** What one side does on one connection. */
    interface Talk {
        void with(Socket socket) throws IOException;
    }

    /** Returns whether everything is to end. */
    boolean isOver() {
        return over;
    }

    /** Listens at a free port, which is returned, and talks on each connection that comes. */
    int listen(Talk talk) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        threads.submit(() -> {
            while (!over) {
                Socket socket = listener.accept();
                threads.submit(() -> quietly(socket, talk));
            }
            return null;
        });
        return listener.getLocalPort();
    }

    /** Runs an action beside the others. */
    <T> Future<T> submit(Callable<T> action) {
        return threads.submit(action);
    }

    /** Talks until the connection ends; that the other side ends it is what most of these come to. */
    static void quietly(Socket socket, Talk talk) {
        try (socket) {
            talk.with(socket);
        } catch (IOException e) {
            // It was ended.
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a command; null at the end of the connection. */
    static List<String> command(InputStream in) throws IOException {
        String head = RouterProcess.line(in);
        if (head == null) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            int length = Integer.parseInt(RouterProcess.line(in).substring(1));
            words.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
            in.readNBytes(2);
        }
        return words;
    }

    @Override
    public void close() throws IOException {
        over = true;
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        threads.shutdownNow();
        try {
            if (!threads.awaitTermination(20, TimeUnit.SECONDS)) {
                throw new IllegalStateException("a connection does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
