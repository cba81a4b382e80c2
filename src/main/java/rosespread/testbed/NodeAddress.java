package rosespread.testbed;

import java.net.InetSocketAddress;

/** Where a node listens and what the fakes call it. */
record NodeAddress(String name, InetSocketAddress address) {
    static NodeAddress of(String name, String host, int port) {
        return new NodeAddress(name, new InetSocketAddress(host, port));
    }
}
