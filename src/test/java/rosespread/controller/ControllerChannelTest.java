package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.api.MethodId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;

/**
 * The channel of a complete controller, driven over plain sockets: split frames, garbage, silent
 * sockets, many proxies.
 */
class ControllerChannelTest {
    private static final int PROXY_COUNT = 156;
    private static final long DRAIN_TIMEOUT_NANOS = 2_000_000_000L;

    @TempDir private Path folder;
    private LoopbackController loopback;

    @BeforeEach
    void start() throws IOException {
        loopback = new LoopbackController(folder);
        loopback.applySettings();
    }

    @AfterEach
    void stop() throws IOException {
        loopback.close();
    }

    @Test
    void acceptsFramesSplitAtEveryByte() throws Exception {
        ChannelClient client = loopback.connect();
        client.writeByteByByte(ChannelClient.HELLO);
        client.writeByteByByte(FrameWriter.bytes(new Frame.Join("bytes", "a", 1)));
        assertEquals(List.of(new MethodId(0)), client.await(Frame.Bind.class).methods());
    }

    @Test
    void closesOnlyStreamThatSentGarbage() throws Exception {
        ChannelClient good = loopback.connect().join("good");
        good.await(Frame.Mark.class);
        ChannelClient malformedClient = loopback.connect().join("bad");
        malformedClient.await(Frame.Hello.class);
        malformedClient.write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        Frame.Close close = malformedClient.await(Frame.Close.class);
        assertEquals(Frame.Reason.BAD_FRAME, close.reason());
        assertTrue(close.text().contains("byte"), close.text());
        good.await(Frame.KeepAlive.class);
        good.await(Frame.KeepAlive.class);
        assertEquals(1, loopback.status().proxies());
    }

    @Test
    void detectsClosedSocketAtOnceAndSilentSocketByKeepAlive() throws Exception {
        loopback.connect().join("closes").socket().close();
        ChannelClient silent = loopback.connect().join("silent");
        await().until(() -> loopback.status().joins() == 2);
        await().atMost(Duration.ofSeconds(1)).until(() -> loopback.status().proxies() <= 1);
        await().until(
                        () ->
                                loopback.status().proxies() == 0
                                        && loopback.status().silentStreams() == 1);
        assertTrue(silent.socket().isConnected());
    }

    @Test
    void subscribesAllProxiesThatJoinTogether() throws Exception {
        List<ChannelClient> clients = new ArrayList<>();
        for (int i = 0; i < PROXY_COUNT; i++) {
            clients.add(loopback.connect().join("p" + i));
        }
        for (ChannelClient client : clients) {
            client.await(Frame.Bind.class);
            client.acknowledgeNext();
        }
        await().until(() -> loopback.status().proxiesBound() == PROXY_COUNT);
        assertTrue(loopback.status().mostLinesWaiting() <= 30_000);
    }

    /**
     * The stuck proxy's small socket windows are full and a delivery to it is in flight. The other
     * proxy still gets the drain, and the stuck stream is closed.
     */
    @Test
    void proxyThatStopsReadingDelaysNoDrain() throws Exception {
        ChannelClient stuck = loopback.connect().join("stuck");
        ChannelClient good = loopback.connect().join("good");
        Frame.Bind bind = good.await(Frame.Bind.class);
        good.acknowledgeNext();
        await().until(() -> loopback.status().proxiesBound() == 2 && loopback.isNodeListWatched());
        long drainedAt = System.nanoTime();
        loopback.reportNodeNInMaintenance();
        Frame.Lines drain = good.await(Frame.Lines.class);
        assertTrue(
                System.nanoTime() - drainedAt < DRAIN_TIMEOUT_NANOS,
                "drain arrived after the drain timeout");
        assertEquals(0, drain.lines().get(0).weight());
        assertTrue(
                bind.lines().stream()
                        .anyMatch(line -> line.node().equals(drain.lines().get(0).node())));
        while (loopback.status().silentStreams() == 0) {
            good.await(Frame.KeepAlive.class);
        }
        assertEquals(1, loopback.status().proxies());
        assertTrue(stuck.socket().isConnected());
    }
}
