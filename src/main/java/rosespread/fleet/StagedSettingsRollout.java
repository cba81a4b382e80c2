package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Applies settings to the controllers one by one, after all controllers have checked the settings
 * in a dry run. After each controller except the last, the rollout waits until that controller
 * operates normally and as many proxies as before are subscribed to its tables. If the proxies do
 * not subscribe again within the resubscribe timeout or a controller rejects the settings, the
 * rollout stops and the remaining controllers keep their former settings.
 *
 * <p>Runs on the calling thread and calls the listener there.
 */
public final class StagedSettingsRollout {
    private static final long POLL_MILLIS = 100;

    private final Fleet fleet;
    private final Duration resubscribeTimeout;
    private final Consumer<RolloutEvent> listener;

    /**
     * Creates a rollout.
     *
     * @param fleet the controllers, in the order of the rollout
     * @param resubscribeTimeout how long a controller's proxies may take to subscribe again
     * @param listener receives each event when it happens
     */
    public StagedSettingsRollout(
            Fleet fleet, Duration resubscribeTimeout, Consumer<RolloutEvent> listener) {
        this.fleet = fleet;
        this.resubscribeTimeout = resubscribeTimeout;
        this.listener = listener;
    }

    /**
     * Runs the rollout to its end or to the first failure.
     *
     * @param settings the settings, as JSON text
     * @param idempotencyKey the key by which a controller recognizes a repeated rollout, so that
     *     the rollout has no effect where it already succeeded
     * @return whether all, some or no controllers applied the settings; if the rollout stopped
     *     early, the last event gives the reason
     * @throws InterruptedException if interrupted while waiting for proxies; settings that were
     *     applied stay in effect
     */
    public Completion run(String settings, String idempotencyKey) throws InterruptedException {
        List<InetSocketAddress> controllers = fleet.controllers();
        if (!passesDryRun(settings)) {
            return Completion.of(0, controllers.size());
        }
        int applied = 0;
        for (InetSocketAddress controller : controllers) {
            ControllerSummary before = status(controller);
            if (!apply(controller, settings, idempotencyKey, before)) {
                break;
            }
            applied++;
            boolean isLast = applied == controllers.size();
            if (!isLast && !proxiesResubscribe(controller, before.subscribedProxies())) {
                break;
            }
        }
        return Completion.of(applied, controllers.size());
    }

    private boolean passesDryRun(String settings) {
        List<FleetResponse> responses = fleet.request("PUT", "/v1/settings?dry-run=true", settings);
        Optional<FleetResponse> failed = responses.stream().filter(r -> !r.isOk()).findFirst();
        failed.ifPresent(
                response ->
                        listener.accept(
                                new RolloutEvent.DryRunFailed(
                                        response.address(), reason(response))));
        return failed.isEmpty();
    }

    private boolean apply(
            InetSocketAddress controller,
            String settings,
            String idempotencyKey,
            ControllerSummary before) {
        // If-Match prevents overwriting settings that another operator applied in the meantime.
        long revision =
                before.settings().map(ControllerSummary.AppliedSettings::revision).orElse(0L);
        FleetResponse response =
                fleet.request(
                        controller,
                        "PUT",
                        "/v1/settings",
                        settings,
                        "idempotency-key",
                        idempotencyKey,
                        "if-match",
                        String.valueOf(revision));
        listener.accept(
                response.isOk()
                        ? new RolloutEvent.Applied(
                                response.address(), response.body().path("revision").asLong())
                        : new RolloutEvent.ApplyFailed(response.address(), reason(response)));
        return response.isOk();
    }

    private boolean proxiesResubscribe(InetSocketAddress controller, int proxies)
            throws InterruptedException {
        long deadline = System.nanoTime() + resubscribeTimeout.toNanos();
        while (deadline - System.nanoTime() > 0) {
            ControllerSummary now = status(controller);
            if (now.isServing() && now.subscribedProxies() >= proxies) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        listener.accept(new RolloutEvent.ProxiesMissing(Fleet.hostAndPort(controller), proxies));
        return false;
    }

    private ControllerSummary status(InetSocketAddress controller) {
        return ControllerSummary.parse(fleet.request(controller, "GET", "/v1/status", "").body());
    }

    private static String reason(FleetResponse response) {
        StringBuilder reason =
                new StringBuilder(
                        response.detail().isEmpty()
                                ? "status " + response.status()
                                : response.detail());
        for (JsonNode fault : response.body().path("faults")) {
            reason.append("; field ")
                    .append(fault.path("field").asText())
                    .append(" is ")
                    .append(fault.path("value").asText())
                    .append(", allowed: ")
                    .append(fault.path("allowed").asText());
        }
        return reason.toString();
    }
}
