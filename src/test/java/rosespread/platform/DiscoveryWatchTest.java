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
import rosespread.http.CrossingServer;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;

class DiscoveryWatchTest {
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 1);
    private final DiscoveryWatch watch =
            new DiscoveryWatch(
                    http,
                    timer,
                    new SplittableRandom(1),
                    new DiscoveryWatch.Ears() {
                        @Override
                        public void list(TargetList list) {
                            heard.add((list.full() ? "whole " : "changes ") + list.version());
                        }

                        @Override
                        public void unavailable(String why) {
                            heard.add("unavailable: " + why);
                        }
                    });

    @AfterEach
    void close() {
        watch.close();
        http.close();
        timer.shutdownNow();
    }

    @Test
    void firstTheWholeListThenTheWatchGoesOn() throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(Sample.node("s-1", "SERVING"))) {
            watch.follow(discovery.at());
            await().until(discovery::watched);
            discovery.change(Sample.node("s-1", "DRAINING"));
            await().until(
                            () ->
                                    discovery.asked.stream().anyMatch(t -> t.contains("?since=2&"))
                                            && heard.contains("changes 2"));
            assertEquals("/api/targets", discovery.asked.get(0));
            assertEquals(List.of("whole 1", "changes 2"), heard);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"version\":2,\"full\":tr", "[]", "{\"version\":2,\"servers\":[{}]}"})
    void whatIsNoListIsAskedForAgain(String cut) throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(Sample.node("s-1", "SERVING"))) {
            discovery.nextIs(cut);
            watch.follow(discovery.at());
            await().until(() -> heard.contains("whole 1"));
            assertTrue(heard.get(0).startsWith("unavailable: "), heard.toString());
        }
    }

    /** Lists and changes, in the order in which they were heard. */
    private List<String> lists() {
        return heard.stream().filter(one -> !one.startsWith("unavailable")).toList();
    }

    /**
     * Discovery that began anew goes on telling the older version, and is believed after a while.
     */
    @Test
    void aVersionThatWentBackIsNotBelievedToBeAChange() throws IOException {
        try (FakeDiscovery discovery = new FakeDiscovery(Sample.node("s-1", "SERVING"))) {
            discovery.nextIs("{\"version\":9,\"full\":true,\"servers\":[]}");
            watch.follow(discovery.at());
            await().until(() -> heard.contains("whole 1"));
            assertEquals(List.of("whole 9", "whole 1"), lists());
            assertEquals("unavailable: version 1 is older than 9, which is held", heard.get(1));
        }
    }

    /** The agent that was moved to answers first from before what the old one told already. */
    @Test
    void anOlderWholeListAfterAMoveUndoesNothing() throws IOException {
        try (FakeDiscovery old = new FakeDiscovery(Sample.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(Sample.node("s-1", "SERVING"))) {
            watch.follow(old.at());
            await().until(old::watched);
            old.change(Sample.node("s-1", "DRAINING"));
            next.change(Sample.node("s-1", "DRAINING"));
            await().until(() -> heard.contains("changes 2"));
            next.nextIs(
                    "{\"version\":1,\"full\":true,\"servers\":["
                            + Sample.node("s-1", "SERVING")
                            + "]}");
            watch.follow(next.at());
            await().until(() -> next.watched() && heard.contains("whole 2"));
            assertEquals(List.of("whole 1", "changes 2", "whole 2"), lists());
        }
    }

    /**
     * The end of a kept connection and the next call cross: nothing was missed, so nothing is said.
     */
    @Test
    void aConnectionThatEndsAsTheNextCallIsWrittenOnItIsNoTrouble() throws IOException {
        try (CrossingServer discovery =
                new CrossingServer(
                        "{\"version\":1,\"full\":true,\"servers\":[]}",
                        "{\"version\":1,\"full\":false,\"servers\":[]}")) {
            watch.follow(discovery.at());
            await().until(() -> heard.size() >= 2);
            // The watch goes on and is heard meanwhile: only a copy stays as it is while it is
            // compared.
            assertEquals(List.of("whole 1", "changes 1"), List.copyOf(heard).subList(0, 2));
        }
    }

    @Test
    void anotherAddressIsFollowedAtOnceAndTheOldCallIsNotHeard() throws IOException {
        try (FakeDiscovery old = new FakeDiscovery(Sample.node("s-1", "SERVING"));
                FakeDiscovery next = new FakeDiscovery(Sample.node("s-2", "SERVING"))) {
            watch.follow(old.at());
            await().until(old::watched);
            watch.follow(next.at());
            await().until(next::watched);
            old.change(Sample.node("s-1", "DRAINING"));
            next.change(Sample.node("s-2", "DRAINING"));
            await().until(() -> heard.contains("changes 2"));
            assertEquals(List.of("whole 1", "whole 1", "changes 2"), heard);
        }
    }
}
