package rosespread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.config.ConfigException;

/**
 * Compares the simulator's wire format with recorded values: the JSON of each action, the enum
 * values of the simulator's names, and the length and digest of each reply in a fixed session of
 * three controllers. The digests leave out the text of log lines. The session produces no action
 * that excludes a node or sets an admission limit; only the comparison of the JSON covers these.
 */
class SimulatorWireTest {
    private static final String INFO =
            "{'azs':['a','b'],'kinds':['k','l'],'profiles':[{'name':'m',"
                    + "'effect':'safe','importance':1,'giveUp':2,'onlyKinds':['l'],'new':{}},"
                    + "{'name':'o','importance':3,'giveUp':2}],'membershipMode':'subscribe',"
                    + "'domain':{'channelRate':1000,'overhead':4,'queueCap':1500,'reportEvery':1,'throttleBy':'rps',"
                    + "'pushesAllowed':30,'countedOver':10,'pushDelayMax':0.5},"
                    + "'contract':{'stopSendingWithin':2,'cold':16,'coldShare':0.2,'overloadFor':1.5},"
                    + "'policyLimits':{'probes':true},'report':{'columns':['utilization']}}";

    private final List<String> batches = new ArrayList<>();

    private static String run(String input) throws IOException, MalformedBatchException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out)
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String writtenActions(Consumer<PolicyActions> actions) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator reply = new JsonFactory().createGenerator(bytes)) {
            actions.accept(new SimulatorActionWriter(3, reply));
            SimulatorActionWriter.writeFault(3, reply, "why");
        }
        return bytes.toString(StandardCharsets.UTF_8).replace('"', '\'').replace("} {", "}\n{")
                + "\n";
    }

    @Test
    void writesRecordedJsonForEachAction() throws IOException {
        assertEquals(
                """
                {'msg':'Assign','conductorId':3,'tbl':1,'w':0.1,'node':4000000000}
                {'msg':'Point','conductorId':3,'clientLb':2,'classBits':8589934593,'tbl':1}
                {'msg':'Cordon','conductorId':3,'active':true,'node':7}
                {'msg':'Admit','conductorId':3,'letIn':3.5,'secondTry':1,'tbl':1,'classBits':4}
                {'msg':'Admit','conductorId':3,'letIn':1000000.0,'secondTry':1,'tbl':1,'classBits':1}
                {'msg':'Mark','conductorId':3,'rev':9,'active':false}
                {'msg':'Ping','conductorId':3,'node':7}
                {'msg':'StreamChanges','conductorId':3,'active':true}
                {'msg':'Arm','conductorId':3,'delay':1.5,'ctx':'round'}
                {'msg':'Log','conductorId':3,'reasonText':'line'}
                {'msg':'Fault','conductorId':3,'reasonText':'why'}
                """,
                writtenActions(
                        actions -> {
                            actions.setWeight(new TableId(1), new NodeId(4_000_000_000L), 0.1);
                            actions.subscribe(
                                    new ProxyId(2),
                                    List.of(new MethodId(0), new MethodId(33)),
                                    new TableId(1));
                            actions.setExcluded(new NodeId(7), true);
                            actions.setAdmissionLimit(new TableId(1), new MethodId(2), 3.5);
                            actions.setAdmissionLimit(
                                    new TableId(1), new MethodId(0), Double.POSITIVE_INFINITY);
                            actions.requestAcknowledgement(9);
                            actions.checkHealth(new NodeId(7));
                            actions.watchNodes();
                            actions.startTimer(1_500_000_000L);
                            ((SimulatorActionWriter) actions).writeLog("line");
                        }));
    }

    /** Compares ordinals, as the names of the enum constants are not part of the wire format. */
    @Test
    void mapsWireNamesToEnumValues() throws ConfigException {
        List<String> ordinals = new ArrayList<>();
        for (String name :
                List.of("delivered", "shed", "expired", "dial_failed", "dropped", "else")) {
            ordinals.add(String.valueOf(WireNames.healthCheckResult(name).ordinal()));
        }
        for (String name : List.of("Partial", "Complete", "Persisted", "Error")) {
            ordinals.add(String.valueOf(WireNames.nodeListKind(name).ordinal()));
        }
        for (String name : List.of("ready", "draining", "gone")) {
            ordinals.add(String.valueOf(WireNames.nodeState(name).ordinal()));
        }
        assertEquals("0 2 3 4 4 1 2 1 0 3 0 1 2", String.join(" ", ordinals));
        assertThrows(ConfigException.class, () -> WireNames.nodeListKind("partial"));
        assertThrows(ConfigException.class, () -> WireNames.nodeState("Ready"));
    }

    private void addBatch(double time, String... events) {
        batches.add(
                ("{'simTime':" + time + ",'msgs':[" + String.join(",", events) + "]}\n")
                        .replace('\'', '"'));
    }

    private static String event(String name, int controller, String fields) {
        return "{'msg':'" + name + "','conductorId':" + controller + fields + "}";
    }

    private static String entry(int node, String state) {
        return "{'w':1,'zone':'"
                + (node % 2 == 0 ? "a" : "b")
                + "','node':"
                + node
                + ",'lifecycle':'"
                + state
                + "','cameUp':0,'kind':'"
                + (node % 3 == 0 ? "k" : "l")
                + "'}";
    }

    private static String list(int controller, String kind, String... entries) {
        return event(
                "Topology",
                controller,
                ",'rev':0,'kind':'" + kind + "','elements':[" + String.join(",", entries) + "]");
    }

    private static String launch(int controller) {
        String[] entries = new String[12];
        for (int node = 0; node < entries.length; node++) {
            entries[node] = entry(node, "ready");
        }
        return event("Launch", controller, ",'nonce64':" + (5 + controller) + ",'info':" + INFO)
                + ","
                + list(controller, "Persisted", entries);
    }

    private static String join(int controller, int proxy) {
        return event(
                "Attached",
                controller,
                ",'clientLb':"
                        + proxy
                        + ",'zone':'"
                        + (proxy % 2 == 0 ? "a" : "b")
                        + "','w':"
                        + (20 + proxy)
                        + ",'active':true");
    }

    private void addReports(double time, int failingNode) {
        List<String> events = new ArrayList<>();
        for (int node = 0; node < 12; node++) {
            events.add(
                    event(
                            "Digest",
                            0,
                            ",'node':"
                                    + node
                                    + ",'zone':'a','count':50,'unanswered':"
                                    + (node == failingNode ? 50 : 0)
                                    + ",'costTime':0.02,'covers':1,'report':["
                                    + (0.4 + node / 10.0)
                                    + "]"));
        }
        for (int proxy = 0; proxy < 4; proxy++) {
            events.add(
                    event(
                            "OfferedLoad",
                            0,
                            ",'clientLb':" + proxy + ",'category':'m','count':90,'covers':1"));
            events.add(event("Installed", 0, ",'clientLb':" + proxy + ",'rev':1,'costTime':0.05"));
        }
        events.add(event("Wakeup", 0, ""));
        addBatch(time, events.toArray(String[]::new));
    }

    private void addSessionBatches() {
        addBatch(0);
        addBatch(0.5, launch(0), launch(1));
        addBatch(1, join(0, 0), join(0, 1), join(0, 2), join(0, 3), join(1, 0));
        for (int i = 0; i < 8; i++) {
            addReports(2 + i, i > 2 ? 4 : -1);
        }
        addBatch(10.5, event("PingResult", 0, ",'node':4,'verdict':'dial_failed'"));
        addBatch(
                11,
                list(0, "Partial", entry(5, "draining"), entry(6, "gone")),
                event("Unsubscribed", 0, ",'clientLb':3"));
        addBatch(
                12,
                event("PingResult", 0, ",'node':4,'verdict':'delivered'"),
                event("Wakeup", 0, ""));
        addReports(13, -1);
        addBatch(14, list(0, "Error"), event("Detach", 1, ""));
        addBatch(15, event("Wakeup", 1, ""), event("Wakeup", 0, ""), event("Novelty", 0, ""));
        addReports(16, -1);
        addMassReconnectDuringDrain();
    }

    /** Lets many proxies join at once while a node drains and becomes ready again. */
    private void addMassReconnectDuringDrain() {
        addBatch(17, launch(2));
        String[] joins = new String[45];
        for (int proxy = 0; proxy < joins.length; proxy++) {
            joins[proxy] = join(2, proxy);
        }
        addBatch(18, joins);
        addBatch(18.1, list(2, "Partial", entry(5, "draining")));
        addBatch(18.4, event("Wakeup", 2, ""));
        addBatch(19, event("Wakeup", 2, ""));
        addBatch(20, list(2, "Partial", entry(5, "ready")));
        addBatch(22, event("Wakeup", 2, ""));
        addBatch(30, event("Wakeup", 2, ""));
    }

    /** Returns the length and digest of each reply without the text of its log lines. */
    private static String digests(String replies) {
        StringBuilder digests = new StringBuilder();
        for (String reply : replies.split("\n")) {
            String withoutLogText =
                    reply.replaceAll(
                            "\"reasonText\":\"([^\"\\\\]|\\\\.)*\"", "\"reasonText\":\"\"");
            digests.append(withoutLogText.length())
                    .append(' ')
                    .append(
                            Long.toHexString(
                                    Hashing.xxh3_64()
                                            .hashBytesToLong(
                                                    withoutLogText.getBytes(
                                                            StandardCharsets.UTF_8))))
                    .append('\n');
        }
        return digests.toString();
    }

    @Test
    void repliesToFixedSessionMatchRecordedDigests() throws IOException, MalformedBatchException {
        addSessionBatches();
        String replies = run(String.join("", batches));
        for (String action : List.of("Assign", "Point", "Mark", "Ping", "StreamChanges", "Arm")) {
            assertTrue(replies.contains("\"msg\":\"" + action + "\""), "no " + action);
        }
        assertFalse(replies.contains("\"msg\":\"Fault\""), replies);
        assertEquals(
                """
                12 a7ab9ed818cd3d84
                2559 241d39bccd959023
                789 c73e6e3150923b97
                1448 176ae3432d678eff
                67 bc4f0bb9f29e130c
                549 465b4f09e894384c
                1456 c917a5e18972e38c
                107 8cfb273fd0610cfb
                153 c05a038e228db440
                1900 5df179901c06eac8
                107 8cfb273fd0610cfb
                103 91809428e918d328
                831 98179cc8c5269edb
                469 9d1d566968694cde
                563 c7d7398a4d3f1a01
                157 febd9e448a34bbc2
                107 8cfb273fd0610cfb
                1160 69543212244859b3
                1767 836ad2ee1249ffee
                4629 ce572bf6981f4fba
                3789 785571ce4601916d
                237 51e6dda76883b003
                773 26f466950960c958
                12 a7ab9ed818cd3d84
                549 97be287fe5876c6b
                4295 f79a3571f69e2caa
                """,
                digests(replies));
    }
}
