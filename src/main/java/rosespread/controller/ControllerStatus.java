package rosespread.controller;

import java.util.List;
import java.util.Map;

/**
 * Status of the controller at one moment. The component names are the JSON field names of {@code
 * GET /v1/state}, which docs/api/openapi.yaml describes, and must not change. Ages and times are in
 * milliseconds.
 */
public record ControllerStatus(
        String phase,
        int proxies,
        int proxiesBound,
        long linesWaiting,
        long mostLinesWaiting,
        long messages,
        long rounds,
        double meanRoundMs,
        double worstRoundMs,
        long joins,
        long strayAnswers,
        long sumsOfUnknownNodes,
        long moduleFaults,
        long missedDeltas,
        long silentStreams,
        long slowStreams,
        long lists,
        long listFailures,
        String listTrouble,
        String lastMode,
        List<Node> nodes,
        List<Table> tables,
        List<Proxy> proxyList,
        Storage storage) {

    /**
     * A listed node.
     *
     * @param withdrawn whether the node is excluded at proxies
     * @param drainedBy the operator who drained the node, empty if none
     * @param triedAgoMs time since the last report of an attempt at the node, -1 if there was none
     * @param unheard number of joined proxies without a load report for three report periods, whose
     *     attempts since then are unknown
     */
    public record Node(
            String name,
            String address,
            String zone,
            String kind,
            String state,
            boolean withdrawn,
            String drainedBy,
            long triedAgoMs,
            int unheard) {}

    /**
     * A table.
     *
     * @param version the number of the committed version
     * @param held how the table is pinned
     * @param refusals why the policy's weights are currently refused
     * @param refused number of refusals by reason
     * @param lines the weights by node name
     * @param versions the retained versions
     */
    public record Table(
            int table,
            long version,
            String held,
            List<String> refusals,
            Map<String, Long> refused,
            Map<String, Double> lines,
            List<Version> versions) {}

    /** The weights that differ between two versions. */
    public record Difference(int table, long from, long to, List<Changed> lines) {}

    /** A weight that differs between two versions; 0 stands for no entry. */
    public record Changed(String node, double before, double after) {}

    /**
     * State of the log that versions and operators' acts are persisted in.
     *
     * @param trouble why nothing can be persisted, empty if there is no fault
     * @param late whether messages are sent without waiting for the log
     * @param waiting number of log entries that are not durable yet
     * @param unkeptMessages number of messages sent before their log entries were durable
     * @param bytes size of the log file
     */
    public record Storage(
            String trouble, boolean late, long waiting, long unkeptMessages, long bytes) {}

    /** A version that a table can be rolled back to. */
    public record Version(
            long number, String cause, long atMillis, int lines, int changed, String digest) {}

    /**
     * A joined proxy.
     *
     * @param unanswered number of messages that the proxy has not acknowledged
     * @param messages number of messages written to the proxy
     * @param heardAgoMs time since the last frame from the proxy
     * @param tables number of tables that the proxy is subscribed to
     */
    public record Proxy(String name, int unanswered, long messages, long heardAgoMs, int tables) {}
}
