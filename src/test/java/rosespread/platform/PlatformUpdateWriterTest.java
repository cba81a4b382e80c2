package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/** Tests the updates written for a round's actions, case by case as the platform documents them. */
class PlatformUpdateWriterTest {
    private final NodeNameRegistry nodes = new NodeNameRegistry();
    private final UpdateEncoder encoder =
            new UpdateEncoder(PlatformFixture.config().names(), nodes);
    private final Set<NodeId> possiblyExcluded = new TreeSet<>();
    private final PlatformUpdateWriter updates =
            new PlatformUpdateWriter(2, possiblyExcluded::contains, null);

    /**
     * Runs a script. j0 joins proxy 0, l0 ends its stream; b0:1:lo subscribes proxy 0 to table 1
     * for lookup and order; 1:A=2 sets the weight of node A in table 1; 1:o~0.5 sets the table's
     * admission limit for order; -A excludes node A, +A readmits it; r:A marks node A as possibly
     * excluded, as a node that has left once; m7 requests an acknowledgement with token 7; / ends
     * the round.
     */
    private void runScript(String script) {
        for (String step : script.trim().split(" ")) {
            String rest = step.substring(1);
            switch (step.charAt(0)) {
                case 'j' -> updates.proxyJoined(proxy(rest));
                case 'l' -> updates.proxyLeft(proxy(rest));
                case 'm' -> updates.requestAcknowledgement(Integer.parseInt(rest));
                case 'r' -> possiblyExcluded.add(nodes.register(rest.substring(1)));
                case '-' -> updates.setExcluded(nodes.register(rest), true);
                case '+' -> updates.setExcluded(nodes.register(rest), false);
                case 'b' -> subscribe(rest.split(":"));
                case '/' -> updates.finishRound((proxy, parts, policyToken) -> {});
                default -> changeTable(step);
            }
        }
    }

    private void subscribe(String[] proxyTableAndMethods) {
        updates.subscribe(
                proxy(proxyTableAndMethods[0]),
                methods(proxyTableAndMethods[2]),
                table(proxyTableAndMethods[1]));
    }

    private void changeTable(String step) {
        TableId table = table(step.substring(0, 1));
        String change = step.substring(2);
        if (change.contains("=")) {
            String[] entry = change.split("=");
            updates.setWeight(table, nodes.register(entry[0]), Double.parseDouble(entry[1]));
        } else {
            String[] limit = change.split("~");
            MethodId method = methods(limit[0]).get(0);
            updates.setAdmissionLimit(table, method, Double.parseDouble(limit[1]));
        }
    }

    private static ProxyId proxy(String number) {
        return new ProxyId(Integer.parseInt(number));
    }

    private static TableId table(String number) {
        return new TableId(Integer.parseInt(number));
    }

    private static List<MethodId> methods(String letters) {
        return letters.chars().mapToObj(letter -> new MethodId(letter == 'l' ? 0 : 1)).toList();
    }

    /** Ends the round; returns each proxy's update, with parts separated by semicolons. */
    private String finishRound() {
        Map<ProxyId, String> sent = new TreeMap<>();
        updates.finishRound(
                (proxy, parts, policyToken) ->
                        sent.put(proxy, proxy.value() + "> " + describe(parts, policyToken)));
        return String.join(" ", sent.values());
    }

    private String describe(List<UpdatePart> parts, int policyToken) {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            boolean last = i == parts.size() - 1;
            int token = last ? policyToken : UpdateEncoder.NO_TOKEN;
            texts.add(String.join(" ", encoder.toStrings(parts.get(i), token, !last)));
        }
        return String.join("; ", texts);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "j0 1:A=2 m7 | ",
                "j0 1:A=2 b0:1:lo m7 | 0> assign whole 1 lines A:2 ticket 7",
                "j0 1:A=2 b0:1:lo / 1:A=3 1:B=0.25 m8 | 0> assign lines A:3,B:0.25 ticket 8",
                "j0 1:A=2 1:B=1 b0:1:lo / 1:A=0 | 0> assign lines A:0",
                "j0 1:A=2 b0:1:lo / 1:A=3 b0:1:lo m8 | 0> assign whole 1 lines A:3 ticket 8",
                "j0 1:A=2 b0:1:l | 0> assign classes lookup whole 1 lines A:2",
                "j0 1:A=2 2:B=1 b0:1:l b0:2:o m9 | 0> assign classes lookup whole 1 lines A:2 more 1;"
                        + " assign classes order whole 1 lines B:1 ticket 9",
                "j0 1:A=2 2:B=1 b0:1:l b0:2:o / 2:B=4 | 0> assign classes order lines B:4",
                "j0 1:A=2 b0:1:lo / 1:l~0.5 m2 | 0> assign classes lookup level 0.5 retry 1 ticket 2",
                "j0 1:A=2 b0:1:lo / 1:l~0.5 1:o~0.5 | 0> assign level 0.5 retry 1",
                "j0 1:A=2 b0:1:lo / 1:l~Infinity | 0> assign classes lookup level 1000000 retry 1",
                "j0 1:A=2 1:l~3 1:o~Infinity b0:1:lo | 0> assign whole 1 lines A:2 more 1;"
                        + " assign classes lookup level 3 retry 1",
                "j0 1:A=2 1:l~0 1:o~0 b0:1:lo | 0> assign whole 1 lines A:2 level 0 retry 1",
                "j0 j1 1:A=2 b0:1:lo / -B m3 | 1> assign out B ticket 3",
                "j0 1:A=2 b0:1:lo / -A | 0> assign out A",
                "j0 -A / j1 -A | 1> assign out A",
                "j0 -A / +A / -A | 0> assign out A",
                "j0 -A / 1:B=1 b0:1:lo / +A | 0> assign back A",
                "j0 -A / 1:B=1 b0:1:lo / 1:A=1 +A | 0> assign lines A:1 more 1; assign back A",
                "r:A j0 1:A=1 1:B=1 b0:1:lo | 0> assign whole 1 lines A:1,B:1 more 1; assign back A",
                "r:A j0 1:A=1 1:B=1 b0:1:lo / 1:A=2 | 0> assign lines A:2",
                "r:A j0 1:B=1 b0:1:lo / 1:A=1 | 0> assign lines A:1 more 1; assign back A",
                "j0 -A / j0 1:B=1 b0:1:lo / +A | ",
                "j0 1:A=2 b0:1:lo / l0 1:A=3 | ",
                "j0 1:A=2 b0:1:lo / j0 1:A=3 | ",
                "j0 1:A=2 2:B=1 b0:1:lo / b0:2:lo / 1:A=3 | ",
                "j0 1:A=2 2:B=1 b0:1:lo / b0:2:o / 1:A=3 | 0> assign classes lookup lines A:3"
            })
    void writesActionsAsUpdates(String script, String expected) {
        runScript(script);
        assertEquals(expected == null ? "" : expected, finishRound());
    }

    @Test
    void rejectsExclusionOfUnlistedNode() {
        UpdatePart unlisted = UpdatePart.ofExclusions(List.of(new NodeId(9)), List.of());
        assertThrows(IllegalStateException.class, () -> encoder.encode(List.of(unlisted), 1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void rejectsWeightThatProxyCannotUse(double weight) {
        Map<NodeId, Double> weights = Map.of(nodes.register("A"), weight);
        UpdatePart part =
                new UpdatePart(
                        List.of(), false, weights, UpdatePart.NO_LIMIT, List.of(), List.of());
        assertThrows(IllegalStateException.class, () -> encoder.encode(List.of(part), 1));
    }
}
