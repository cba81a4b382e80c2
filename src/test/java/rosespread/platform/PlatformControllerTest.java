package rosespread.platform;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.AbstractMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a SIGHUP during startup, and a changed configuration file without a SIGHUP. */
class PlatformControllerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    @TempDir private Path folder;

    /** The environment of a process whose file is replaced after it is read for the first time. */
    private final class ReplacedFile extends AbstractMap<String, String> {
        private int reads;

        @Override
        public String get(Object key) {
            if (!"ROUTER_CONFIG".equals(key)) {
                return null;
            }
            reads++;
            return folder.resolve(reads == 1 ? "first.json" : "next.json").toString();
        }

        @Override
        public Set<Map.Entry<String, String>> entrySet() {
            return Set.of();
        }
    }

    private void write(String file, FakeDiscovery discovery) throws IOException {
        String listen = "127.0.0.1:" + PlatformFixture.freePort();
        Files.writeString(
                folder.resolve(file), PlatformFixture.config(listen, discovery.address()));
    }

    private static boolean isWaitingOrDone(Thread thread) {
        Thread.State state = thread.getState();
        return state == Thread.State.WAITING || state == Thread.State.TERMINATED;
    }

    /** Runs a signal handler on its own thread; returns once the thread waits or has ended. */
    private static void raise(Runnable handler) {
        Thread signal = new Thread(handler, "SIGHUP handler");
        signal.setDaemon(true);
        signal.start();
        await().until(() -> isWaitingOrDone(signal));
    }

    /**
     * The signal arrives before the first configuration is read, and so before startup is complete.
     */
    @Test
    void handlesSignalReceivedDuringStartup() throws Exception {
        try (FakeDiscovery first = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            write("first.json", first);
            write("next.json", next);
            CompletableFuture<Runnable> hangup = new CompletableFuture<>();
            hangup.thenAccept(PlatformControllerTest::raise);
            PlatformFixture.serve(
                    "serve",
                    new ReplacedFile(),
                    (signal, action) -> !signal.equals("HUP") || hangup.complete(action));
            await().atMost(TIMEOUT).until(next::hasOpenWatch);
        }
    }

    /**
     * The parent process set SIGHUP to be ignored, as nohup does, so only the file shows that
     * discovery has moved.
     */
    @Test
    void followsMovedDiscoveryWithoutSignalOnceOldAddressFails() throws Exception {
        FakeDiscovery first = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
        try (FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            write("first.json", first);
            write("next.json", next);
            PlatformFixture.serve(
                    "serve", new ReplacedFile(), (signal, action) -> !signal.equals("HUP"));
            await().atMost(TIMEOUT).until(first::hasOpenWatch);
            first.close();
            await().atMost(TIMEOUT).until(next::hasOpenWatch);
        }
    }
}
