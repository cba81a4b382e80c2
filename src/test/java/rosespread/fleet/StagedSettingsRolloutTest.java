package rosespread.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A rollout to two controllers with prepared responses. */
class StagedSettingsRolloutTest {
    private static final long REQUEST_TIMEOUT_NANOS = 5_000_000_000L;
    private static final Duration RESUBSCRIBE_TIMEOUT = Duration.ofMillis(300);
    private static final String DRY_RUN = "PUT /v1/settings?dry-run=true";
    private static final String APPLY = "PUT /v1/settings";
    private static final String STATUS = "GET /v1/status";
    private static final String SERVING = "{\"phase\":\"serving\",\"proxiesBound\":2}";

    private final List<String> events = new ArrayList<>();
    private FakeController first;
    private FakeController second;

    @BeforeEach
    void startControllers() throws IOException {
        first = acceptingController();
        second = acceptingController();
    }

    private static FakeController acceptingController() throws IOException {
        return new FakeController()
                .respondTo(DRY_RUN, 200, "{}")
                .respondTo(STATUS, 200, SERVING)
                .respondTo(APPLY, 200, "{\"revision\":8}");
    }

    @AfterEach
    void stopControllers() {
        first.close();
        second.close();
    }

    private Completion rollOut() throws InterruptedException {
        try (Fleet fleet =
                new Fleet(
                        List.of(first.address(), second.address()), "ana", REQUEST_TIMEOUT_NANOS)) {
            return new StagedSettingsRollout(
                            fleet, RESUBSCRIBE_TIMEOUT, event -> events.add(event.describe()))
                    .run("{}", "key");
        }
    }

    @Test
    void appliesSettingsToControllersOneByOne() throws InterruptedException {
        assertEquals(Completion.ALL, rollOut());
        assertEquals(
                List.of(
                        first.addressText() + ": applied as revision 8",
                        second.addressText() + ": applied as revision 8"),
                events);
        assertEquals(List.of(DRY_RUN, STATUS, APPLY + " if 0", STATUS), first.requests());
        assertEquals(List.of(DRY_RUN, STATUS, APPLY + " if 0"), second.requests());
    }

    @Test
    void appliesOnlyIfRevisionIsUnchanged() throws InterruptedException {
        first.respondTo(STATUS, 200, SERVING.replace("}", ",\"settingsRevision\":7}"));
        assertEquals(Completion.ALL, rollOut());
        assertEquals(APPLY + " if 7", first.requests().get(2));
    }

    @Test
    void appliesNothingIfOneControllerFailsTheDryRun() throws InterruptedException {
        String fault = "{\"field\":\"zones\",\"value\":\"[]\",\"allowed\":\"1 to 64\"}";
        second.respondTo(DRY_RUN, 422, "{\"detail\":\"1 fault\",\"faults\":[" + fault + "]}");
        assertEquals(Completion.NONE, rollOut());
        assertEquals(
                List.of(
                        second.addressText()
                                + ": 1 fault; field zones is [], allowed: 1 to 64;"
                                + " nothing was applied anywhere"),
                events);
        assertEquals(List.of(DRY_RUN), first.requests());
        assertEquals(List.of(DRY_RUN), second.requests());
    }

    @Test
    void stopsAtControllerThatRejectsSettings() throws InterruptedException {
        first.respondTo(APPLY, 412, "{}");
        assertEquals(Completion.NONE, rollOut());
        assertEquals(List.of(first.addressText() + ": status 412; rollout stopped"), events);
        assertEquals(List.of(DRY_RUN), second.requests());
    }

    @Test
    void reportsPartialCompletionIfLaterControllerRejectsSettings() throws InterruptedException {
        second.respondTo(APPLY, 412, "{\"detail\":\"changed since\"}");
        assertEquals(Completion.SOME, rollOut());
        assertEquals(
                List.of(
                        first.addressText() + ": applied as revision 8",
                        second.addressText() + ": changed since; rollout stopped"),
                events);
    }

    @Test
    void stopsIfProxiesDoNotSubscribeAgainInTime() throws InterruptedException {
        first.respondTo(STATUS, 200, SERVING.replace("serving", "waiting for settings"));
        assertEquals(Completion.SOME, rollOut());
        assertEquals(
                List.of(
                        first.addressText() + ": applied as revision 8",
                        first.addressText()
                                + ": its 2 proxies did not subscribe again in time; rollout stopped"),
                events);
        assertEquals(List.of(DRY_RUN), second.requests());
    }
}
