package rosespread.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.http.HttpMessage;
import rosespread.testbed.TestLoop;

/**
 * Operator actions over the control API: table rollbacks and node drains. Calls are made on
 * separate threads; the checker is notified on the loop's thread.
 */
final class OperatorActions {
    private static final String THREAD_NAME = "operator";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long DRAIN_RETRY_MILLIS = 300;
    private static final int HTTP_OK = 200;

    /**
     * Divides a random draw before the draw selects a version, so that the version depends on other
     * bits of the draw than the table does.
     */
    private static final int VERSION_DRAW_DIVISOR = 64;

    private final ObjectMapper json = new ObjectMapper();
    private final RunEnvironment environment;
    private final TestLoop loop;

    OperatorActions(RunEnvironment environment) {
        this.environment = environment;
        this.loop = environment.loop();
    }

    /**
     * Rolls a table back to one of the versions that the controller keeps, and releases the table
     * at the end of the fault.
     *
     * @param draw random number that chooses the table and the version
     */
    void rollback(Fault fault, int draw) {
        ControllerProcess controller = environment.controllers().get(fault.controllerIndex());
        BackgroundTask.start(
                THREAD_NAME,
                () -> rollbackAndRelease(fault, controller, draw),
                e ->
                        environment.eventLater(
                                "rollback of a table at "
                                        + controller.name()
                                        + " failed: "
                                        + e.getMessage()));
    }

    private void rollbackAndRelease(Fault fault, ControllerProcess controller, int draw)
            throws IOException, InterruptedException {
        JsonNode tables = read(controller, "/v1/tables");
        if (tables.isEmpty()) {
            return;
        }
        JsonNode table = tables.get(draw % tables.size());
        JsonNode versions = table.path("versions");
        long version =
                versions.get(draw / VERSION_DRAW_DIVISOR % versions.size()).path("number").asLong();
        String path = "/v1/tables/" + table.path("table").asInt();
        rollback(controller, table, version, path);
        Thread.sleep(fault.durationNanos() / NANOS_PER_MILLI);
        controller.call("POST", path + "/release", "");
    }

    private void rollback(ControllerProcess controller, JsonNode table, long version, String path)
            throws IOException {
        int id = table.path("table").asInt();
        long calledNanos = loop.now();
        int status = controller.call("POST", path + "/rollback?version=" + version, "").status();
        environment.eventLater(
                "rollback of table "
                        + id
                        + " at "
                        + controller.name()
                        + " from version "
                        + table.path("version")
                        + " to version "
                        + version
                        + ": HTTP status "
                        + status);
        Map<String, Double> weights = new TreeMap<>();
        read(controller, path)
                .path("lines")
                .properties()
                .forEach(entry -> weights.put(entry.getKey(), entry.getValue().asDouble()));
        if (status == HTTP_OK) {
            loop.run(
                    () ->
                            environment
                                    .checker()
                                    .rolledBack(calledNanos, controller.name(), id, weights));
        }
    }

    private JsonNode read(ControllerProcess controller, String path) throws IOException {
        return json.readTree(controller.call("GET", path, "").body());
    }

    /**
     * Drains a node at all controllers at once and ends the drain at the end of the fault. The
     * drain timeout of each controller's proxies runs from that controller's response. A controller
     * that does not respond learns of the drain from the other controllers.
     */
    void drain(Fault fault, String node) {
        if (environment.controllers().isEmpty()) {
            return;
        }
        BackgroundTask.start(
                THREAD_NAME,
                () -> drainAndUndrain(fault, node),
                e -> environment.eventLater("drain of " + node + " failed: " + e.getMessage()));
    }

    private void drainAndUndrain(Fault fault, String node) throws InterruptedException {
        String idempotencyKey = "drain-" + fault.startNanos() + "-" + node;
        long endNanos = loop.now() + fault.durationNanos();
        List<ControllerProcess> unanswered = new ArrayList<>(environment.controllers());
        while (!unanswered.isEmpty() && loop.now() < endNanos) {
            // Like an operator, repeats the command at controllers that did not answer.
            unanswered.removeIf(controller -> requestDrain(controller, node, idempotencyKey));
            Thread.sleep(unanswered.isEmpty() ? 0 : DRAIN_RETRY_MILLIS);
        }
        Thread.sleep(Math.max(0, (endNanos - loop.now()) / NANOS_PER_MILLI));
        for (ControllerProcess controller : environment.controllers()) {
            loop.run(() -> environment.checker().operatorUndrained(controller.name(), node));
            sendCommand(controller, node, "undrain", idempotencyKey + "-ends", () -> {});
        }
    }

    private boolean requestDrain(ControllerProcess controller, String node, String idempotencyKey) {
        return sendCommand(
                controller,
                node,
                "drain?force=true",
                idempotencyKey,
                () -> environment.checker().operatorDrained(loop.now(), controller.name(), node));
    }

    /**
     * Sends a command for a node to a controller.
     *
     * @param onAccepted run on the loop's thread if the controller accepted the command
     * @return whether the controller accepted the command
     */
    private boolean sendCommand(
            ControllerProcess controller,
            String node,
            String command,
            String idempotencyKey,
            Runnable onAccepted) {
        String description = command + " of " + node + " at " + controller.name() + ": ";
        try {
            HttpMessage.Response response =
                    controller.call(
                            "POST",
                            "/v1/nodes/" + node + "/" + command,
                            "",
                            "idempotency-key",
                            idempotencyKey,
                            "x-operator",
                            "rehearsal");
            loop.run(
                    () -> {
                        environment.event(description + "HTTP status " + response.status());
                        if (response.status() == HTTP_OK) {
                            onAccepted.run();
                        }
                    });
            return response.status() == HTTP_OK;
        } catch (IOException e) {
            environment.eventLater(description + e.getMessage());
            return false;
        }
    }
}
