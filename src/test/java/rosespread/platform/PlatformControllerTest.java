package rosespread.platform;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.AbstractMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SignalHandlers and configurations that cross the start, or never come. */
class PlatformControllerTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    @TempDir private Path folder;

    /** The environment of a process whose file is replaced, once it was read for the first time. */
    private final class Crossing extends AbstractMap<String, String> {
        private int reads;

        @Override
        public String get(Object key) {
            if (!"ROUTER_CONFIG".equals(key)) {
                return null;
            }
            return folder.resolve(++reads == 1 ? "first.json" : "next.json").toString();
        }

        @Override
        public Set<Map.Entry<String, String>> entrySet() {
            return Set.of();
        }
    }

    private void write(String file, FakeDiscovery discovery) throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            Files.writeString(
                    folder.resolve(file),
                    PlatformFixture.config(
                            "127.0.0.1:" + free.getLocalPort(), discovery.address()));
        }
    }

    private static void serve(Map<String, String> environment, CompletableFuture<Runnable> hup) {
        Thread thread =
                new Thread(
                        () ->
                                PlatformController.serve(
                                        environment,
                                        (name, then) -> {
                                            if (name.equals("HUP") && hup != null) {
                                                hup.complete(then);
                                            }
                                            return hup != null || !name.equals("HUP");
                                        }),
                        "serve");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * The signal comes before the first configuration was read, so surely before the start is over.
     */
    @Test
    void aSignalDuringTheStartIsNotLost() throws Exception {
        try (FakeDiscovery first = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            write("first.json", first);
            write("next.json", next);
            CompletableFuture<Runnable> hup = new CompletableFuture<>();
            hup.thenAccept(
                    then -> {
                        Thread signal = new Thread(then, "SIGHUP handler");
                        signal.setDaemon(true);
                        signal.start();
                        await().until(
                                        () ->
                                                signal.getState() == Thread.State.WAITING
                                                        || signal.getState()
                                                                == Thread.State.TERMINATED);
                    });
            serve(new Crossing(), hup);
            await().atMost(PATIENCE).until(next::watched);
        }
    }

    /**
     * The parent ignores the signal, as nohup does: the file alone says that discovery has moved.
     */
    @Test
    void aMoveThatNoSignalToldOfIsFollowedOnceTheOldAddressIsGone() throws Exception {
        FakeDiscovery first = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
        try (FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            write("first.json", first);
            write("next.json", next);
            serve(new Crossing(), null);
            await().atMost(PATIENCE).until(first::watched);
            first.close();
            await().atMost(PATIENCE).until(next::watched);
        }
    }
}
