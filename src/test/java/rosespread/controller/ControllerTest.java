package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.admin.AdminServer;
import rosespread.api.MethodId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.channel.FrameWriter;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;
import rosespread.validation.TableChangeValidator;

/** A whole conductor on loopback, against plain sockets. */
class ControllerTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final byte[] HELLO =
            FrameWriter.bytes(new Frame.Hello(Frame.VERSION, "p", List.of()));

    @TempDir private Path folder;
    private HttpServer list;
    private final List<HttpServer.Exchange> blocked = new CopyOnWriteArrayList<>();
    private Controller conductor;
    private AdminServer control;
    private InetSocketAddress at;
    private InetSocketAddress api;
    private String settings;
    private final List<Socket> sockets = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        list =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (call, exchange) -> {
                            if (call.target().contains("index")) {
                                blocked.add(exchange);
                            } else {
                                exchange.respond(listed("5", ""));
                            }
                        });
        settings =
                SettingsTest.GOOD
                        .replace("8500", String.valueOf(list.listen(ANY).getPort()))
                        .replace("\"linesPerSecond\":1000", "\"linesPerSecond\":20000")
                        .replace("\"queueLimit\":1500", "\"queueLimit\":30000");
        begin();
    }

    private static HttpMessage.Response listed(String index, String checks) {
        return new HttpMessage.Response(
                200,
                HttpHeaders.of("x-consul-index", index),
                ("[{\"Service\":{\"ID\":\"n\",\"Address\":\"127.0.0.1\",\"Port\":9,\"Tags\":[\"zone=a\","
                                + "\"kind=k\"]},\"Checks\":["
                                + checks
                                + "]},{\"Service\":{\"ID\":\"m\","
                                + "\"Address\":\"127.0.0.1\",\"Port\":10,\"Tags\":[\"zone=a\",\"kind=k\"]}}]")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private void begin() throws IOException {
        conductor = new Controller("test", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        at = conductor.start(ANY);
        control = new AdminServer(conductor);
        api = control.listen(ANY);
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        control.close();
        conductor.close();
        list.close();
    }

    private final class Peer {
        final Socket socket = new Socket(at.getAddress(), at.getPort());
        final List<Frame> read = new ArrayList<>();
        private final FrameReader reader = new FrameReader(1 << 20, read::add);

        Peer() throws IOException {
            sockets.add(socket);
            socket.setSoTimeout(10_000);
            socket.setTcpNoDelay(true);
        }

        Peer joins(String name) throws IOException {
            socket.getOutputStream().write(HELLO);
            socket.getOutputStream().write(FrameWriter.bytes(new Frame.Join(name, "a", 1)));
            return this;
        }

        /** Reads until a frame of this kind, answering keep-alives; null at the stream's end. */
        <T extends Frame> T until(Class<T> kind) throws IOException, FrameException {
            byte[] buffer = new byte[4096];
            InputStream in = socket.getInputStream();
            while (true) {
                for (Frame frame : List.copyOf(read)) {
                    read.remove(0);
                    if (frame instanceof Frame.KeepAlive alive) {
                        socket.getOutputStream()
                                .write(
                                        FrameWriter.bytes(
                                                new Frame.KeepAlive(alive.number(), true)));
                    }
                    if (kind.isInstance(frame)) {
                        return kind.cast(frame);
                    }
                }
                int count = in.read(buffer);
                if (count < 0) {
                    return null;
                }
                reader.feed(ByteBuffer.wrap(buffer, 0, count));
            }
        }
    }

    private String call(String verb, String path, String body, String... headers)
            throws IOException {
        try (Socket socket = new Socket(api.getAddress(), api.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(
                            (verb
                                            + " "
                                            + path
                                            + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                                            + (headers.length == 0
                                                    ? ""
                                                    : String.join("\r\n", headers) + "\r\n")
                                            + "content-length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            return new String(
                    socket.getInputStream().readAllBytes(),
                    java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    private void settle() throws IOException {
        assertTrue(call("PUT", "/v1/settings", settings).startsWith("HTTP/1.1 200"));
        await().until(() -> conductor.state().nodes().size() == 2);
    }

    @Test
    void waitsForSettingsSavesThemAndStartsFromThem() throws Exception {
        assertTrue(call("GET", "/v1/health", "").startsWith("HTTP/1.1 503"));
        assertEquals(
                Frame.Reason.NO_SETTINGS, new Peer().joins("p").until(Frame.Close.class).reason());
        String faults = call("PUT", "/v1/settings", settings.replace("16000", "-1"));
        assertTrue(faults.startsWith("HTTP/1.1 422") && faults.contains("cold.timeMs"), faults);
        settle();
        assertTrue(call("GET", "/v1/health", "").startsWith("HTTP/1.1 200"));
        control.close();
        conductor.close();
        begin();
        await().until(() -> conductor.state().nodes().size() == 2);
        assertEquals(2, new Peer().joins("p").until(Frame.Bind.class).lines().size());
    }

    @Test
    void anOperatorsHoldOutlivesTheProcess() throws Exception {
        settle();
        Frame.Bind bound = new Peer().joins("p").until(Frame.Bind.class);
        String path = "/v1/tables/" + bound.table().value();
        String pinned = call("POST", path + "/pin", "");
        assertTrue(pinned.contains("\"kept\" : true"), pinned);
        control.close();
        conductor.close();
        begin();
        String table = call("GET", path, "");
        assertTrue(
                table.contains("\"held\" : \"PINNED\"")
                        && table.contains("\"version\" : " + bound.version()),
                table);
        assertTrue(new Peer().joins("p").until(Frame.Bind.class).version() >= bound.version());
        assertTrue(call("POST", path + "/release", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void anOperatorsDrainIsToldAsTheListWouldAndOutlivesTheProcess() throws Exception {
        settings =
                settings.replace("\"drainGraceMs\"", "\"drainLeastShare\":0.4,\"drainGraceMs\"")
                        .replace("\"onlyKinds\":[\"k\"]", "\"onlyKinds\":[]");
        settle();
        new Peer().joins("p").until(Frame.Bind.class);
        String once =
                call(
                        "POST",
                        "/v1/nodes/n/drain",
                        "",
                        "x-operator: ana",
                        "idempotency-key: one",
                        "if-match: \"0\"");
        assertTrue(once.startsWith("HTTP/1.1 200") && once.contains("\"revision\" : 1"), once);
        String again =
                call(
                        "POST",
                        "/v1/nodes/n/drain",
                        "",
                        "x-operator: ana",
                        "idempotency-key: one",
                        "if-match: \"0\"");
        assertTrue(again.contains("\"repeated\" : true"), again);
        String late = call("POST", "/v1/nodes/m/drain", "", "x-operator: bo", "if-match: \"0\"");
        assertTrue(
                late.startsWith("HTTP/1.1 412")
                        && late.contains("n was drained by ana (revision 1)"),
                late);
        String last = call("POST", "/v1/nodes/m/drain", "", "x-operator: bo");
        assertTrue(
                last.startsWith("HTTP/1.1 409")
                        && last.contains("would lose its last node of zone a"),
                last);
        await().until(
                        () ->
                                conductor
                                        .table(1)
                                        .orElseThrow()
                                        .lines()
                                        .keySet()
                                        .equals(java.util.Set.of("m")));
        control.close();
        conductor.close();
        begin();
        await().until(() -> conductor.state().nodes().size() == 2);
        assertEquals(
                "ana",
                conductor.state().nodes().stream()
                        .filter(n -> n.name().equals("n"))
                        .findFirst()
                        .orElseThrow()
                        .drainedBy());
        assertEquals(1, new Peer().joins("p").until(Frame.Bind.class).lines().size());
        assertTrue(call("POST", "/v1/nodes/n/undrain", "").startsWith("HTTP/1.1 200"));
        await().until(() -> conductor.table(1).orElseThrow().lines().size() == 2);
    }

    /**
     * A conductor that was down during a drain learns of it from another one before proxies can
     * dial.
     */
    @Test
    void aConductorThatMissedADrainLearnsOfItFromItsPeers(@TempDir Path other) throws Exception {
        settings = settings.replace("\"drainGraceMs\"", "\"drainLeastShare\":0,\"drainGraceMs\"");
        settle();
        assertTrue(
                call("POST", "/v1/nodes/n/drain", "", "x-operator: ana")
                        .startsWith("HTTP/1.1 200"));
        String withPeers =
                settings.replace(
                        "\"drainGraceMs\"",
                        "\"peers\":[\"127.0.0.1:"
                                + api.getPort()
                                + "\",\"127.0.0.1:1\"],\"drainGraceMs\"");
        Controller first =
                new Controller("late", other, Controller.ROUTING_POLICY, new TableChangeValidator());
        first.start(ANY);
        first.apply(withPeers, "o", "c", -1);
        first.close();
        Files.delete(other.resolve("tables-000001.log"));
        Controller late =
                new Controller("late", other, Controller.ROUTING_POLICY, new TableChangeValidator());
        try {
            InetSocketAddress dial = late.start(ANY);
            assertEquals(
                    List.of("ana"),
                    late.drains().stream().map(d -> d.by()).toList(),
                    "before any dials");
            await().until(() -> late.state().nodes().size() == 2);
            at = dial;
            assertEquals(1, new Peer().joins("p").until(Frame.Bind.class).lines().size());
            assertTrue(call("POST", "/v1/nodes/n/undrain", "").startsWith("HTTP/1.1 200"));
            await().until(() -> late.drains().stream().noneMatch(d -> d.on()));
        } finally {
            late.close();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST|/v1/nodes/zz/drain||404|no node zz among 2 listed",
                "GET|/v1/nodes/n/drain||405|only POST",
                "POST|/v1/nodes/n/stop||404|not /v1/nodes",
                "POST|/v1/nodes/n/drain|if-match: soon|400|header if-match is soon",
                "POST|/v1/nodes/n/drain|x-operator: a b|400|header x-operator",
                "POST|/v1/nodes/n/drain?force=yes||404|not /v1/nodes",
                "POST|/v1/nodes/n%40127.0.0.1%3A9/drain?force=true||200|revision",
                "PUT|/v1/settings|if-match: 7|412|revision 1 was applied by unnamed",
                "PUT|/v1/settings?dry-run=yes||400|nothing was applied",
                "PUT|/v1/settings?dry-run=true||200|good",
                "DELETE|/v1/settings||405|only GET and PUT",
                "GET|/v1/nodes||200|triedAgoMs"
            })
    void tellsWhatIsWrongWithACall(String verb, String path, String header, int status, String told)
            throws Exception {
        settle();
        String body = verb.equals("PUT") ? settings : "";
        String answer = header == null ? call(verb, path, body) : call(verb, path, body, header);
        assertTrue(answer.startsWith("HTTP/1.1 " + status) && answer.contains(told), answer);
    }

    @Test
    void damagedTablesAreSetAsideAndNumbersGoOnFromTheProxies() throws Exception {
        settle();
        Frame.Bind bound = new Peer().joins("p").until(Frame.Bind.class);
        control.close();
        conductor.close();
        Path file;
        try (var files = Files.list(folder)) {
            file = files.filter(f -> f.toString().endsWith(".log")).findFirst().orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[20] ^= 1;
        Files.write(file, bytes);
        begin();
        Peer again = new Peer();
        again.socket.getOutputStream().write(HELLO);
        again.socket
                .getOutputStream()
                .write(
                        FrameWriter.bytes(
                                new Frame.Join(
                                        "p",
                                        "a",
                                        1,
                                        false,
                                        List.of(new Frame.Holding(bound.table(), 7000)))));
        assertTrue(again.until(Frame.Bind.class).version() > 7000);
        try (var files = Files.list(folder)) {
            assertTrue(files.anyMatch(f -> f.getFileName().toString().contains(".log.damaged-")));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET|/v1/tables/1/diff?from=1&to=999|404|table 1 does not keep version 999",
                "GET|/v1/tables/1/diff?from=0&to=1|404|table 1 does not keep version 0",
                "GET|/v1/tables/77/diff?from=1&to=1|404|no table 77",
                "GET|/v1/tables/1/diff?from=1|404|not /v1/tables/N",
                "GET|/v1/tables/x|404|not /v1/tables/N",
                "GET|/v1/tables/1/diff?from=1&to=1|200|lines",
                "POST|/v1/tables/1/rollback?version=999|409|has no version 999 any more",
                "POST|/v1/tables/1/rollback|400|version is null",
                "POST|/v1/tables/1/release|409|table 1 is not held",
                "GET|/v1/tables/1/pin|405|only POST",
                "POST|/v1/tables/77/pin|409|no table 77"
            })
    void tellsWhatIsWrongWithACallAboutTables(String verb, String path, int status, String told)
            throws Exception {
        settle();
        new Peer().joins("p").until(Frame.Bind.class);
        String answer = call(verb, path, "");
        assertTrue(answer.startsWith("HTTP/1.1 " + status) && answer.contains(told), answer);
    }

    @Test
    void refusesADamagedSnapshotAndStaysUp() throws Exception {
        control.close();
        conductor.close();
        Files.writeString(folder.resolve("settings.json"), "{\"format\":1,");
        begin();
        String health = call("GET", "/v1/health", "");
        assertTrue(health.contains("settings.json: damaged at byte"), health);
        settle();
        try (var files = Files.list(folder)) {
            assertTrue(
                    files.anyMatch(
                            f -> f.getFileName().toString().startsWith("settings.json.damaged-")));
        }
    }

    @Test
    void takesAFrameCutAtEveryByte() throws Exception {
        settle();
        Peer peer = new Peer();
        for (byte one : HELLO) {
            peer.socket.getOutputStream().write(one);
        }
        for (byte one : FrameWriter.bytes(new Frame.Join("bytes", "a", 1))) {
            peer.socket.getOutputStream().write(one);
        }
        assertEquals(List.of(new MethodId(0)), peer.until(Frame.Bind.class).methods());
    }

    @Test
    void garbageCostsOnlyTheStreamThatBroughtIt() throws Exception {
        settle();
        Peer good = new Peer().joins("good");
        good.until(Frame.Mark.class);
        Peer bad = new Peer().joins("bad");
        bad.until(Frame.Hello.class);
        bad.socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
        Frame.Close close = bad.until(Frame.Close.class);
        assertEquals(Frame.Reason.BAD_FRAME, close.reason());
        assertTrue(close.text().contains("byte"), close.text());
        good.until(Frame.KeepAlive.class);
        good.until(Frame.KeepAlive.class);
        assertEquals(1, conductor.state().proxies());
    }

    @Test
    void noticesAClosedSocketAtOnceAndASilentOneByKeepAlive() throws Exception {
        settle();
        new Peer().joins("closes").socket.close();
        Peer silent = new Peer().joins("silent");
        await().until(() -> conductor.state().joins() == 2);
        await().atMost(Duration.ofSeconds(1)).until(() -> conductor.state().proxies() <= 1);
        await().until(
                        () ->
                                conductor.state().proxies() == 0
                                        && conductor.state().silentStreams() == 1);
        assertTrue(silent.socket.isConnected());
    }

    @Test
    void binds156ProxiesThatJoinAtOnce() throws Exception {
        settle();
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 156; i++) {
            peers.add(new Peer().joins("p" + i));
        }
        for (Peer peer : peers) {
            peer.until(Frame.Bind.class);
            peer.socket
                    .getOutputStream()
                    .write(
                            FrameWriter.bytes(
                                    new Frame.Installed(peer.until(Frame.Mark.class).number())));
        }
        await().until(() -> conductor.state().proxiesBound() == 156);
        assertTrue(conductor.state().mostLinesWaiting() <= 30_000);
    }

    /**
     * Its small windows are full, its delivery in flight: the others get the drain, and it is let
     * go.
     */
    @Test
    void aProxyThatStopsReadingHoldsUpNoDrain() throws Exception {
        settle();
        Peer stuck = new Peer().joins("stuck");
        Peer good = new Peer().joins("good");
        Frame.Bind bind = good.until(Frame.Bind.class);
        good.socket
                .getOutputStream()
                .write(
                        FrameWriter.bytes(
                                new Frame.Installed(good.until(Frame.Mark.class).number())));
        await().until(() -> conductor.state().proxiesBound() == 2 && !blocked.isEmpty());
        long told = System.nanoTime();
        blocked.get(0)
                .respond(
                        listed(
                                "6",
                                "{\"CheckID\":\"_service_maintenance:n\",\"Status\":\"critical\"}"));
        Frame.Lines drain = good.until(Frame.Lines.class);
        assertTrue(System.nanoTime() - told < 2_000_000_000L, "the drain came within its grace");
        assertEquals(0, drain.lines().get(0).weight());
        assertTrue(
                bind.lines().stream().anyMatch(l -> l.node().equals(drain.lines().get(0).node())));
        while (conductor.state().silentStreams() == 0) {
            good.until(Frame.KeepAlive.class);
        }
        assertEquals(1, conductor.state().proxies());
        assertTrue(stuck.socket.isConnected());
    }

    @Test
    void tellsProxiesWhenItStops() throws Exception {
        settle();
        Peer peer = new Peer().joins("p");
        peer.until(Frame.Mark.class);
        conductor.close();
        assertEquals(Frame.Reason.STOPPING, peer.until(Frame.Close.class).reason());
    }
}
