package rosespread.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import rosespread.controller.Controller;
import rosespread.controller.ControllerStatus;
import rosespread.http.HttpMessage;

/**
 * Builds the responses of {@code /v1/status} and {@code /v1/health}, which summarize the
 * controller's state.
 */
final class StatusReport {
    private static final String SERVING = "serving";

    private final Controller controller;
    private final AuditTrail audit;

    StatusReport(Controller controller, AuditTrail audit) {
        this.controller = controller;
        this.audit = audit;
    }

    /**
     * Returns status 200 while the controller serves, else 503. A fault of the storage or the audit
     * log alone does not cause a 503.
     */
    HttpMessage.Response health() throws IOException {
        ControllerStatus state = controller.status();
        return JsonResponses.of(
                state.phase().equals(SERVING) ? 200 : 503,
                JsonResponses.object()
                        .put("phase", state.phase())
                        .put("trouble", controller.settingsFault())
                        .put("storage", state.storage().trouble())
                        .put("audit", audit.fault()));
    }

    /**
     * Summarizes the state so that it fits on one screen: counts, versions and faults, without
     * individual weight entries, nodes and proxies.
     */
    HttpMessage.Response summary() throws IOException {
        ControllerStatus state = controller.status();
        ObjectNode summary =
                JsonResponses.object()
                        .put("name", controller.name())
                        .put("phase", state.phase())
                        .put("proxies", state.proxies())
                        .put("proxiesBound", state.proxiesBound())
                        .put("linesWaiting", state.linesWaiting())
                        .put("lastMode", state.lastMode())
                        .put("listTrouble", state.listTrouble())
                        .put("settingsTrouble", controller.settingsFault())
                        .put("storageTrouble", state.storage().trouble())
                        .put("auditTrouble", audit.fault());
        addSettings(summary);
        addNodeCounts(summary.putObject("nodes"), state.nodes());
        addDrained(summary.putObject("drained"), state.nodes());
        addTables(summary.putArray("tables"), state.tables());
        return JsonResponses.ok(summary);
    }

    private void addSettings(ObjectNode summary) {
        controller
                .settings()
                .ifPresent(
                        settings ->
                                summary.put("settingsRevision", settings.revision())
                                        .put("settingsBy", settings.operator()));
    }

    /** Adds the number of nodes in each state. */
    private static void addNodeCounts(ObjectNode counts, List<ControllerStatus.Node> nodes) {
        for (ControllerStatus.Node node : nodes) {
            counts.put(node.state(), counts.path(node.state()).asInt() + 1);
        }
    }

    /** Adds the operator of each drained node. */
    private static void addDrained(ObjectNode drained, List<ControllerStatus.Node> nodes) {
        for (ControllerStatus.Node node : nodes) {
            if (!node.drainedBy().isEmpty()) {
                drained.put(node.name(), node.drainedBy());
            }
        }
    }

    private static void addTables(ArrayNode summaries, List<ControllerStatus.Table> tables) {
        for (ControllerStatus.Table table : tables) {
            summaries
                    .addObject()
                    .put("table", table.table())
                    .put("version", table.version())
                    .put("held", table.held())
                    .put("refusals", String.join("; ", table.refusals()));
        }
    }
}
