package rosespread.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.drain.DrainRegistry;
import rosespread.eventloop.RoundScheduler;
import rosespread.settings.FleetSettings;

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

    private static final int REPORTS_MISSED = 3;

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

    /** Before any settings came. */
    static ControllerStatus of(
            FleetSettings settings,
            Collection<ProxySession> links,
            Collection<ListedNode> listed,
            List<Table> tables,
            DrainRegistry drains,
            Map<NodeId, Long> triedAt,
            Collection<NodeId> withdrawn,
            PacedChannel channel,
            ControllerState.Counts counts,
            RoundScheduler rounds,
            Storage storage,
            long now) {
        int unheard =
                settings == null
                        ? 0
                        : (int)
                                links.stream()
                                        .filter(
                                                link ->
                                                        now - link.reportedAt
                                                                > REPORTS_MISSED
                                                                        * settings.reportPeriodNanos())
                                        .count();
        List<Node> nodeList = new ArrayList<>();
        for (ListedNode node : listed) {
            nodeList.add(
                    new Node(
                            node.name(),
                            node.host() + ":" + node.port(),
                            node.zone(),
                            node.machineType(),
                            node.state().name(),
                            withdrawn.contains(node.id()),
                            drains.latest(node.id()).filter(Drain::on).map(Drain::by).orElse(""),
                            triedAt.containsKey(node.id())
                                    ? (now - triedAt.get(node.id())) / 1_000_000
                                    : -1,
                            unheard));
        }
        List<Proxy> proxies = new ArrayList<>();
        for (ProxySession link : links) {
            proxies.add(
                    new Proxy(
                            link.name,
                            link.marks.size(),
                            link.messages,
                            (now - link.heardAt) / 1_000_000,
                            link.bound.size()));
        }
        return new ControllerStatus(
                settings == null ? "waiting for settings" : "serving",
                links.size(),
                (int) links.stream().filter(link -> !link.bound.isEmpty()).count(),
                channel == null ? 0 : channel.linesWaiting(),
                channel == null ? 0 : channel.mostWaiting(),
                channel == null ? 0 : channel.messagesLeft(),
                rounds.roundsRun(),
                rounds.meanNanos() / 1e6,
                rounds.maxNanos() / 1e6,
                counts.joins,
                counts.strayAnswers,
                counts.unknownNodes,
                rounds.failures(),
                counts.missed,
                counts.silent,
                counts.slow,
                counts.lists,
                counts.listFailures,
                counts.listTrouble,
                counts.mode,
                nodeList,
                tables,
                proxies,
                storage);
    }
}
