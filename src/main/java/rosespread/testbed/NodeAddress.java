package rosespread.testbed;

import java.net.InetSocketAddress;

/** A node's address and its name in the testbed. */
record NodeAddress(String name, InetSocketAddress address) {
    static NodeAddress of(String name, String host, int port) {
        return new NodeAddress(name, new InetSocketAddress(host, port));
    }
}
