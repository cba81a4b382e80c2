package rosespread.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.http.ConnectionResetServer;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;

class DiscoveryWatchTest {
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 1);
    private final DiscoveryWatch watch =
            new DiscoveryWatch(
                    http,
                    timer,
                    new SplittableRandom(1),
                    new DiscoveryWatch.Listener() {
                        @Override
                        public void listReceived(NodeList list) {
                            received.add((list.full() ? "full " : "changes ") + list.version());
                        }

                        @Override
                        public void listUnavailable(String reason) {
                            received.add("unavailable: " + reason);
                        }
                    });

    @AfterEach
    void close() {
        watch.close();
        http.close();
        timer.shutdownNow();
    }

    @Test
    void requestsFullListThenWatchesForChanges() throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            watch.follow(discovery.socketAddress());
            await().until(discovery::hasOpenWatch);
            discovery.change(PlatformFixture.node("s-1", "DRAINING"));
            await().until(
                            () ->
                                    discovery.requests().stream()
                                                    .anyMatch(
                                                            target -> target.contains("?since=2&"))
                                            && received.contains("changes 2"));
            assertEquals("/api/targets", discovery.requests().get(0));
            assertEquals(List.of("full 1", "changes 2"), received);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"version\":2,\"full\":tr", "[]", "{\"version\":2,\"servers\":[{}]}"})
    void requestsInvalidListAgain(String answer) throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            discovery.answerNext(answer);
            watch.follow(discovery.socketAddress());
            await().until(() -> received.contains("full 1"));
            assertTrue(received.get(0).startsWith("unavailable: "), received.toString());
        }
    }

    /** The received full lists and changes, in order. */
    private List<String> lists() {
        return received.stream().filter(entry -> !entry.startsWith("unavailable")).toList();
    }

    /**
     * Discovery that has restarted keeps sending an older version; its full list is accepted after
     * the time for which older lists are rejected.
     */
    @Test
    void acceptsOlderVersionOnlyAsFullListAfterRestart() throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            discovery.answerNext("{\"version\":9,\"full\":true,\"servers\":[]}");
            watch.follow(discovery.socketAddress());
            await().until(() -> received.contains("full 1"));
            assertEquals(List.of("full 9", "full 1"), lists());
            assertEquals(
                    "unavailable: list version 1 is older than accepted version 9",
                    received.get(1));
        }
    }

    /**
     * After an address change, the new agent first answers with a list older than the last one of
     * the previous agent.
     */
    @Test
    void rejectsOlderFullListAfterAddressChange() throws IOException {
        try (FakeDiscovery old = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"))) {
            watch.follow(old.socketAddress());
            await().until(old::hasOpenWatch);
            old.change(PlatformFixture.node("s-1", "DRAINING"));
            next.change(PlatformFixture.node("s-1", "DRAINING"));
            await().until(() -> received.contains("changes 2"));
            next.answerNext(
                    "{\"version\":1,\"full\":true,\"servers\":["
                            + PlatformFixture.node("s-1", "SERVING")
                            + "]}");
            watch.follow(next.socketAddress());
            await().until(() -> next.hasOpenWatch() && received.contains("full 2"));
            assertEquals(List.of("full 1", "changes 2", "full 2"), lists());
        }
    }

    /**
     * The server ends a kept-alive connection while the next request is being written. No list was
     * missed, so no failure is reported.
     */
    @Test
    void reportsNoFailureIfConnectionEndsDuringNextRequest() throws IOException {
        try (ConnectionResetServer discovery =
                new ConnectionResetServer(
                        "{\"version\":1,\"full\":true,\"servers\":[]}",
                        "{\"version\":1,\"full\":false,\"servers\":[]}")) {
            watch.follow(discovery.address());
            await().until(() -> received.size() >= 2);
            // Compares a copy, as the watch continues to add lists.
            assertEquals(List.of("full 1", "changes 1"), List.copyOf(received).subList(0, 2));
        }
    }

    @Test
    void followsNewAddressAtOnceAndIgnoresOldPoll() throws IOException {
        try (FakeDiscovery old = new FakeDiscovery(PlatformFixture.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(PlatformFixture.node("s-2", "SERVING"))) {
            watch.follow(old.socketAddress());
            await().until(old::hasOpenWatch);
            watch.follow(next.socketAddress());
            await().until(next::hasOpenWatch);
            old.change(PlatformFixture.node("s-1", "DRAINING"));
            next.change(PlatformFixture.node("s-2", "DRAINING"));
            await().until(() -> received.contains("changes 2"));
            assertEquals(List.of("full 1", "full 1", "changes 2"), received);
        }
    }
}
