package rosespread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Free ports below those that systems hand out by themselves: one of these may be let go and taken
 * again without an outgoing connection getting it meanwhile.
 */
public final class Ports {
    private static final int FROM = 12_000;
    private static final int TO = 32_000;
    private static final int TRIES = 200;

    private Ports() {}

    /** A loopback address whose port was free a moment ago. */
    public static InetSocketAddress free() throws IOException {
        IOException last = null;
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FROM, TO);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), probe.getLocalPort());
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no free port from " + FROM + " to " + TO, last);
    }
}
