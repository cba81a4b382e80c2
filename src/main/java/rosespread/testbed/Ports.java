package rosespread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports below the ephemeral port range of common systems. Such a port can be closed and
 * bound again without an outgoing connection being assigned it in between.
 */
public final class Ports {
    private static final int MIN_PORT = 12_000;
    private static final int PORT_LIMIT = 32_000;
    private static final int MAX_TRIES = 200;

    private Ports() {}

    /**
     * Returns a loopback address whose port was free when probed.
     *
     * @throws IOException if no free port was found
     */
    public static InetSocketAddress free() throws IOException {
        IOException lastFailure = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, PORT_LIMIT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), probe.getLocalPort());
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw new IOException(
                "no free loopback port in ["
                        + MIN_PORT
                        + ", "
                        + PORT_LIMIT
                        + ") after "
                        + MAX_TRIES
                        + " attempts",
                lastFailure);
    }
}
