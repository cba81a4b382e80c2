package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.channel.Frame;
import rosespread.drain.Drain;
import rosespread.validation.TableChangeValidator;

/** A complete controller over restarts: settings, pins, drains and damaged files. */
class ControllerTest {
    @TempDir private Path folder;
    private LoopbackController loopback;

    @BeforeEach
    void start() throws IOException {
        loopback = new LoopbackController(folder);
    }

    @AfterEach
    void stop() throws IOException {
        loopback.close();
    }

    private Path findFile(Predicate<String> name) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> name.test(file.getFileName().toString()))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void waitsForSettingsThenSavesAndRestoresThem() throws Exception {
        assertTrue(loopback.call("GET", "/v1/health", "").startsWith("HTTP/1.1 503"));
        assertEquals(
                Frame.Reason.NO_SETTINGS,
                loopback.connect().join("p").await(Frame.Close.class).reason());
        String faults =
                loopback.call("PUT", "/v1/settings", loopback.settings().replace("16000", "-1"));
        assertTrue(faults.startsWith("HTTP/1.1 422") && faults.contains("cold.timeMs"), faults);
        loopback.applySettings();
        assertTrue(loopback.call("GET", "/v1/health", "").startsWith("HTTP/1.1 200"));
        loopback.restart();
        loopback.awaitNodes();
        assertEquals(2, loopback.connect().join("p").await(Frame.Bind.class).lines().size());
    }

    @Test
    void operatorPinSurvivesRestart() throws Exception {
        loopback.applySettings();
        Frame.Bind bound = loopback.connect().join("p").await(Frame.Bind.class);
        String path = "/v1/tables/" + bound.table().value();
        String pinned = loopback.call("POST", path + "/pin", "");
        assertTrue(pinned.contains("\"kept\" : true"), pinned);
        loopback.restart();
        String table = loopback.call("GET", path, "");
        assertTrue(
                table.contains("\"held\" : \"PINNED\"")
                        && table.contains("\"version\" : " + bound.version()),
                table);
        Frame.Bind again = loopback.connect().join("p").await(Frame.Bind.class);
        assertTrue(again.version() >= bound.version());
        loopback.post(path + "/release");
    }

    @Test
    void operatorDrainActsLikeListedDrainAndSurvivesRestart() throws Exception {
        loopback.replaceInSettings("\"drainGraceMs\"", "\"drainLeastShare\":0.4,\"drainGraceMs\"");
        loopback.replaceInSettings("\"onlyKinds\":[\"k\"]", "\"onlyKinds\":[]");
        loopback.applySettings();
        loopback.connect().join("p").await(Frame.Bind.class);
        assertDrainIsIdempotentAndGuarded();
        await().until(
                        () ->
                                loopback.controller()
                                        .table(1)
                                        .orElseThrow()
                                        .lines()
                                        .keySet()
                                        .equals(Set.of("m")));
        loopback.restart();
        loopback.awaitNodes();
        assertEquals(
                "ana",
                loopback.status().nodes().stream()
                        .filter(node -> node.name().equals("n"))
                        .findFirst()
                        .orElseThrow()
                        .drainedBy());
        assertEquals(1, loopback.connect().join("p").await(Frame.Bind.class).lines().size());
        loopback.post("/v1/nodes/n/undrain");
        await().until(() -> loopback.controller().table(1).orElseThrow().lines().size() == 2);
    }

    private void assertDrainIsIdempotentAndGuarded() throws IOException {
        String[] once = {"x-operator: ana", "idempotency-key: one", "if-match: \"0\""};
        String first = loopback.call("POST", "/v1/nodes/n/drain", "", once);
        assertTrue(first.startsWith("HTTP/1.1 200") && first.contains("\"revision\" : 1"), first);
        String again = loopback.call("POST", "/v1/nodes/n/drain", "", once);
        assertTrue(again.contains("\"repeated\" : true"), again);
        String stale =
                loopback.call("POST", "/v1/nodes/m/drain", "", "x-operator: bo", "if-match: \"0\"");
        assertTrue(
                stale.startsWith("HTTP/1.1 412")
                        && stale.contains("n was drained by ana (revision 1)"),
                stale);
        String guarded = loopback.call("POST", "/v1/nodes/m/drain", "", "x-operator: bo");
        assertTrue(
                guarded.startsWith("HTTP/1.1 409")
                        && guarded.contains("would lose its last ready node in zone a"),
                guarded);
    }

    /** A controller that was down during a drain learns of it before proxies can connect. */
    @Test
    void learnsMissedDrainFromPeers(@TempDir Path otherFolder) throws Exception {
        loopback.replaceInSettings("\"drainGraceMs\"", "\"drainLeastShare\":0,\"drainGraceMs\"");
        loopback.applySettings();
        loopback.post("/v1/nodes/n/drain", "x-operator: ana");
        saveSettingsWithPeers(otherFolder);
        try (Controller restarted = newController(otherFolder)) {
            InetSocketAddress address = restarted.start(LoopbackController.ANY_PORT);
            assertEquals(
                    List.of("ana"),
                    restarted.drains().stream().map(Drain::by).toList(),
                    "drains known before proxies can connect");
            await().until(() -> restarted.status().nodes().size() == 2);
            Frame.Bind bound = loopback.connect(address).join("p").await(Frame.Bind.class);
            assertEquals(1, bound.lines().size());
            loopback.post("/v1/nodes/n/undrain");
            await().until(() -> restarted.drains().stream().noneMatch(Drain::on));
        }
    }

    private static Controller newController(Path folder) {
        return new Controller(
                "late", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
    }

    /** Prepares a folder without tables, with settings that name two peers, one unreachable. */
    private void saveSettingsWithPeers(Path otherFolder) throws Exception {
        String withPeers =
                loopback.settings()
                        .replace(
                                "\"drainGraceMs\"",
                                "\"peers\":[\"127.0.0.1:"
                                        + loopback.adminAddress().getPort()
                                        + "\",\"127.0.0.1:1\"],\"drainGraceMs\"");
        Controller first = newController(otherFolder);
        first.start(LoopbackController.ANY_PORT);
        first.apply(withPeers, "o", "c", -1);
        first.close();
        Files.delete(otherFolder.resolve("tables-000001.log"));
    }

    @Test
    void setsDamagedTablesAsideAndContinuesFromVersionsOfProxies() throws Exception {
        loopback.applySettings();
        Frame.Bind bound = loopback.connect().join("p").await(Frame.Bind.class);
        loopback.stop();
        Path file = findFile(name -> name.endsWith(".log"));
        byte[] bytes = Files.readAllBytes(file);
        bytes[20] ^= 1;
        Files.write(file, bytes);
        loopback.start();
        ChannelClient again = loopback.connect();
        again.write(ChannelClient.HELLO);
        again.send(
                new Frame.Join(
                        "p", "a", 1, false, List.of(new Frame.Holding(bound.table(), 7000))));
        assertTrue(again.await(Frame.Bind.class).version() > 7000);
        assertTrue(Files.exists(findFile(name -> name.contains(".log.damaged-"))));
    }

    @Test
    void rejectsDamagedSettingsFileAndStaysUp() throws Exception {
        loopback.stop();
        Files.writeString(folder.resolve("settings.json"), "{\"format\":1,");
        loopback.start();
        String health = loopback.call("GET", "/v1/health", "");
        assertTrue(health.contains("settings.json: damaged at byte"), health);
        loopback.applySettings();
        assertTrue(Files.exists(findFile(name -> name.startsWith("settings.json.damaged-"))));
    }

    @Test
    void sendsStoppingCloseToProxies() throws Exception {
        loopback.applySettings();
        ChannelClient client = loopback.connect().join("p");
        client.await(Frame.Mark.class);
        loopback.controller().close();
        assertEquals(Frame.Reason.STOPPING, client.await(Frame.Close.class).reason());
    }
}
