package rosespread.controller;

import java.util.List;
import java.util.Map;

/** The conductor at one moment, for those who look from outside. Ages and times in milliseconds. */
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
     * @param drainedBy the operator who drains it, empty if none; @param triedAgoMs since the last
     *     report of a try there, -1 if there was none; @param unheard proxies without a report for
     *     three periods, from which it cannot be known
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

    public record Table(
            int table,
            long version,
            String held,
            List<String> refusals,
            Map<String, Long> refused,
            Map<String, Double> lines,
            List<Version> versions) {}

    /** What changes from one version to another; a weight of 0 stands for no line. */
    public record Difference(int table, long from, long to, List<Changed> lines) {}

    public record Changed(String node, double before, double after) {}

    /** How versions and acts are kept; {@code waiting} entries are not on the disk yet. */
    public record Storage(
            String trouble, boolean late, long waiting, long unkeptMessages, long bytes) {}

    /** A version that can be gone back to. */
    public record Version(
            long number, String cause, long atMillis, int lines, int changed, String digest) {}

    public record Proxy(String name, int unanswered, long messages, long heardAgoMs, int tables) {}
}
