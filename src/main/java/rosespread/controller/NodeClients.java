package rosespread.controller;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import rosespread.discovery.HealthChecker;
import rosespread.discovery.ListedNode;
import rosespread.discovery.NodeListClient;
import rosespread.eventloop.EventQueue;
import rosespread.http.HttpClient;
import rosespread.settings.FleetSettings;

/**
 * The clients of discovery and of nodes' health checks for the settings in force. Results are added
 * to the event loop as events.
 *
 * <p>Used on the event-loop thread; the clients' callbacks run on I/O threads and only enqueue.
 */
final class NodeClients {
    private final String controllerName;
    private final HttpClient http;
    private final ScheduledExecutorService timer;
    private final EventQueue queue;
    private final ControllerState state;
    private NodeListClient nodeList;
    private HealthChecker healthChecker;

    NodeClients(
            String controllerName,
            HttpClient http,
            ScheduledExecutorService timer,
            EventQueue queue,
            ControllerState state) {
        this.controllerName = controllerName;
        this.http = http;
        this.timer = timer;
        this.queue = queue;
        this.state = state;
    }

    /** Replaces the clients by new ones for these settings, which send no requests yet. */
    void applySettings(FleetSettings settings) {
        if (nodeList != null) {
            nodeList.close();
        }
        healthChecker =
                new HealthChecker(
                        http,
                        settings.healthChecks().path(),
                        settings.healthChecks().timeoutNanos());
        FleetSettings.Discovery discovery = settings.discovery();
        nodeList =
                new NodeListClient(
                        http,
                        new InetSocketAddress(discovery.host(), discovery.port()),
                        discovery.service(),
                        "rosespread/" + controllerName,
                        discovery.blockingWaitNanos(),
                        discovery.responseTimeoutNanos(),
                        discovery.indexRollbackGraceNanos(),
                        discovery.onDemand(),
                        timer,
                        System::nanoTime,
                        new SplittableRandom(settings.seed() ^ controllerName.hashCode()),
                        new NodeListListener());
    }

    /** Starts to watch discovery's node list; each list is added to the event loop as an event. */
    void watchNodes() {
        nodeList.start();
    }

    void checkHealth(ListedNode node) {
        healthChecker.check(
                node.address(),
                result -> queue.put(now -> state.healthChecked(now, node.id(), result)));
    }

    private final class NodeListListener implements NodeListClient.Listener {
        @Override
        public void nodeListReceived(List<ListedNode> nodes) {
            queue.put(now -> state.nodesListed(now, nodes));
        }

        @Override
        public void nodeListUnavailable(String reason) {
            queue.put(now -> state.nodeListUnavailable(now, reason));
        }
    }
}
