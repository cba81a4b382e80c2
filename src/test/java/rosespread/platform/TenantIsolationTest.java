package rosespread.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs controllers for two tenants in one process. The tenants' settings have nothing in common,
 * and neither tenant may affect the other.
 */
class TenantIsolationTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String TICKETS =
            """
            {"azs":["quay","ridge"],"kinds":["wide-8","thin-2"],"membershipMode":"subscribe",
             "profiles":[{"name":"show","importance":1.0},{"name":"stamp","importance":4.0}],
             "domain":{"agents":12,"channelRate":1500.0,"overhead":6.0,"queueCap":1500.0,"costPerLine":0.06,
              "pushesAllowed":40,"countedOver":10.0,"pushDelayMax":0.9,"reportEvery":0.5,"shards":0,
              "throttleBy":"off","zoneBound":[false,true]},
             "contract":{"stopSendingWithin":2.5,"cold":14.0,"coldShare":0.2,"overloadFor":1.5},
             "policyLimits":{"probes":false},"report":{"how":"off","columns":[]}}""";
    private static final String ARCHIVE =
            """
            {"azs":["north","south","east","west"],"kinds":["tall-6"],"membershipMode":"automatic",
             "profiles":[{"name":"find","importance":1.0},{"name":"store","importance":3.0},
              {"name":"list","importance":0.5}],
             "domain":{"agents":300,"channelRate":1300.0,"overhead":14.0,"queueCap":1300.0,"shards":0,
              "pushDelayMax":0.4,"reportEvery":0.8,"throttleBy":"ratio","zoneBound":[false,false,false]},
             "contract":{"stopSendingWithin":1.8,"cold":9.0,"coldShare":0.3,"overloadFor":2.0},
             "policyLimits":{"probes":true},"report":{"how":"inline","columns":["throughput","utilization"]}}""";
    @TempDir private Path folder;

    private static String node(String id, String zone, String kind) {
        return PlatformFixture.node(id, "SERVING")
                .replace("\"zone\":\"a\"", "\"zone\":\"" + zone + "\"")
                .replace("\"kind\":\"m2\"", "\"kind\":\"" + kind + "\"");
    }

    private int serve(String name, String settings, FakeDiscovery discovery) throws IOException {
        int port = PlatformFixture.freePort();
        String config =
                """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":256},
                 "settings":%s}"""
                        .formatted(name, port, discovery.address(), settings);
        Path file = Files.writeString(folder.resolve(name + ".json"), config);
        PlatformFixture.serve(
                name, Map.of("ROUTER_CONFIG", file.toString()), (signal, action) -> true);
        await().atMost(TIMEOUT).until(discovery::hasOpenWatch);
        return port;
    }

    private static FakePeer join(int port, int proxy, String zone) {
        return await().atMost(TIMEOUT)
                .ignoreExceptions()
                .until(
                        () -> {
                            FakePeer peer = new FakePeer(port);
                            peer.send("attach node " + proxy + " locality " + zone + " w 5 cold 1");
                            return peer;
                        },
                        peer -> true);
    }

    @Test
    void keepsMethodsZonesLimitsAndNodesOfTenantsApart() throws IOException {
        try (FakeDiscovery tickets =
                        new FakeDiscovery(
                                node("p-1", "quay", "wide-8"), node("p-2", "ridge", "thin-2"));
                FakeDiscovery archive = new FakeDiscovery(node("a-1", "west", "tall-6"))) {
            int ticketsPort = serve("tickets", TICKETS, tickets);
            int archivePort = serve("archive", ARCHIVE, archive);
            String ticketsTable =
                    String.join(" ", join(ticketsPort, 11, "ridge").awaitMessage("whole 1"));
            String archiveTable =
                    String.join(" ", join(archivePort, 299, "north").awaitMessage("whole 1"));
            assertTrue(
                    ticketsTable.contains("classes show")
                            && ticketsTable.contains("p-1:")
                            && ticketsTable.contains("p-2:"),
                    ticketsTable);
            assertTrue(
                    !archiveTable.contains("classes")
                            && archiveTable.contains("a-1:")
                            && !archiveTable.contains("p-"),
                    archiveTable);
            FakePeer subscribed = join(ticketsPort, 10, "ridge");
            String stampTable = String.join(" ", subscribed.awaitMessage("classes stamp"));
            assertTrue(
                    stampTable.contains("p-2:") && !stampTable.contains("p-1:"),
                    "expected only nodes of zone ridge, found " + stampTable);
            for (FakePeer rejected :
                    List.of(
                            join(ticketsPort, 3, "north"),
                            join(ticketsPort, 12, "quay"),
                            join(archivePort, 3, "quay"))) {
                rejected.awaitMessage("reject");
                await().atMost(TIMEOUT).until(() -> rejected.isEnded());
            }
            assertEquals(false, subscribed.isEnded());
        }
    }
}
