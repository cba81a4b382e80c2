package rosespread.controller;

import java.util.List;
import java.util.Map;

/**
 * The controller at one moment. Its components are the fields of {@code GET /v1/state}, which
 * docs/api/openapi.yaml describes: their names do not change. Ages and times are in milliseconds.
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
     * @param withdrawn whether it is excluded at proxies
     * @param drainedBy the operator who drains it, empty if none
     * @param triedAgoMs since the last report of an attempt there, -1 if there was none
     * @param unheard proxies without a report for three periods, whose attempts are unknown
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
     * @param version the number that is committed
     * @param held how it is pinned
     * @param refusals why the policy's weights are refused now
     * @param refused how often that happened, by reason
     * @param lines the weights by the nodes' names
     * @param versions those retained
     */
    public record Table(
            int table,
            long version,
            String held,
            List<String> refusals,
            Map<String, Long> refused,
            Map<String, Double> lines,
            List<Version> versions) {}

    /** What changes from one version to another. */
    public record Difference(int table, long from, long to, List<Changed> lines) {}

    /** A weight that changes; 0 stands for no entry. */
    public record Changed(String node, double before, double after) {}

    /**
     * How versions and acts are persisted.
     *
     * @param trouble why nothing can be persisted, empty if it can
     * @param late whether messages leave without waiting for the log
     * @param waiting entries that are not durable yet
     * @param unkeptMessages messages that left before their entries were durable
     * @param bytes of the log file
     */
    public record Storage(
            String trouble, boolean late, long waiting, long unkeptMessages, long bytes) {}

    /** A version that a table can be rolled back to. */
    public record Version(
            long number, String cause, long atMillis, int lines, int changed, String digest) {}

    /**
     * A joined proxy.
     *
     * @param unanswered messages that it has not acknowledged
     * @param messages messages written to it
     * @param heardAgoMs since the last frame from it
     * @param tables the tables that it is subscribed to
     */
    public record Proxy(String name, int unanswered, long messages, long heardAgoMs, int tables) {}
}
