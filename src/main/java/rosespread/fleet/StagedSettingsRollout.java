package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Applies settings to one conductor after the other. Between two it waits until the one before
 * serves as many proxies as it did; if that does not come in time, or one is refused, the rest keep
 * what they have.
 */
public final class StagedSettingsRollout {
    private static final long LOOK_MILLIS = 100;

    private final Fleet fleet;
    private final long patienceNanos;
    private final Consumer<String> progress;

    /**
     * @param patienceNanos how long a conductor may take to have its proxies back
     */
    public StagedSettingsRollout(Fleet fleet, long patienceNanos, Consumer<String> progress) {
        this.fleet = fleet;
        this.patienceNanos = patienceNanos;
        this.progress = progress;
    }

    /**
     * Returns at how many conductors the settings hold now; the progress says where and why it
     * stopped.
     */
    public int run(String settings, String call) throws InterruptedException {
        List<FleetResponse> tried = fleet.ask("PUT", "/v1/settings?dry-run=true", settings);
        for (FleetResponse reply : tried) {
            if (!reply.isOk()) {
                progress.accept(
                        reply.address() + ": " + why(reply) + "; nothing was applied anywhere");
                return 0;
            }
        }
        int done = 0;
        for (InetSocketAddress conductor : fleet.controllers()) {
            FleetResponse before = fleet.ask(conductor, "GET", "/v1/status", "");
            int bound = before.body().path("proxiesBound").asInt();
            // Against what it has now: another operator's settings of this moment are not
            // overwritten.
            FleetResponse put =
                    fleet.ask(
                            conductor,
                            "PUT",
                            "/v1/settings",
                            settings,
                            "idempotency-key",
                            call,
                            "if-match",
                            String.valueOf(before.body().path("settingsRevision").asLong()));
            if (!put.isOk()) {
                progress.accept(put.address() + ": " + why(put) + "; stopped here");
                return done;
            }
            done++;
            progress.accept(put.address() + ": applied as revision " + put.body().path("revision"));
            if (done < fleet.controllers().size() && !backTo(conductor, bound)) {
                progress.accept(
                        put.address()
                                + ": its "
                                + bound
                                + " proxies are not back in time; stopped here");
                return done;
            }
        }
        return done;
    }

    private boolean backTo(InetSocketAddress conductor, int bound) throws InterruptedException {
        long until = System.nanoTime() + patienceNanos;
        while (until - System.nanoTime() > 0) {
            JsonNode status = fleet.ask(conductor, "GET", "/v1/status", "").body();
            if (status.path("phase").asText().equals("serving")
                    && status.path("proxiesBound").asInt() >= bound) {
                return true;
            }
            Thread.sleep(LOOK_MILLIS);
        }
        return false;
    }

    private static String why(FleetResponse reply) {
        StringBuilder why =
                new StringBuilder(
                        reply.detail().isEmpty() ? "status " + reply.status() : reply.detail());
        reply.body()
                .path("faults")
                .forEach(
                        fault ->
                                why.append("; field ")
                                        .append(fault.path("field").asText())
                                        .append(" is ")
                                        .append(fault.path("value").asText())
                                        .append(", allowed: ")
                                        .append(fault.path("allowed").asText()));
        return why.toString();
    }
}
