package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/** From a round's orders to messages, case by case as the platform's pages have it. */
class PlatformUpdateWriterTest {
    private final NodeNameRegistry nodes = new NodeNameRegistry();
    private final UpdateEncoder writer = new UpdateEncoder(PlatformFixture.config().names(), nodes);
    private final Set<NodeId> restless = new java.util.TreeSet<>();
    private final PlatformUpdateWriter orders =
            new PlatformUpdateWriter(2, restless::contains, null);

    /**
     * PolicyActions in short: j0 joins proxy 0, l0 is its leaving; b0:1:lo binds it to table 1 for
     * lookup and order; 1:A=2 sets a line; 1:o~0.5 a level; -A withdraws, +A lets back; r:A has
     * left once; m7 is a mark; / ends the round.
     */
    private void play(String text) {
        for (String word : text.trim().split(" ")) {
            String rest = word.substring(1);
            switch (word.charAt(0)) {
                case 'j' -> orders.proxyJoined(new ProxyId(Integer.parseInt(rest)));
                case 'l' -> orders.proxyLeft(new ProxyId(Integer.parseInt(rest)));
                case 'm' -> orders.requestAcknowledgement(Integer.parseInt(rest));
                case 'r' -> restless.add(nodes.register(rest.substring(1)));
                case '-' -> orders.setExcluded(nodes.register(rest), true);
                case '+' -> orders.setExcluded(nodes.register(rest), false);
                case 'b' -> {
                    String[] parts = rest.split(":");
                    orders.subscribe(
                            new ProxyId(Integer.parseInt(parts[0])),
                            methods(parts[2]),
                            new TableId(Integer.parseInt(parts[1])));
                }
                case '/' -> orders.finishRound((proxy, parts, mark) -> {});
                default -> {
                    TableId table = new TableId(Integer.parseInt(word.substring(0, 1)));
                    if (word.contains("=")) {
                        String[] line = word.substring(2).split("=");
                        orders.setWeight(
                                table, nodes.register(line[0]), Double.parseDouble(line[1]));
                    } else {
                        String[] level = word.substring(2).split("~");
                        orders.setAdmissionLimit(
                                table, methods(level[0]).get(0), Double.parseDouble(level[1]));
                    }
                }
            }
        }
    }

    private static List<MethodId> methods(String letters) {
        return letters.chars().mapToObj(c -> new MethodId(c == 'l' ? 0 : 1)).toList();
    }

    private String sent() {
        TreeMap<ProxyId, String> sent = new TreeMap<>();
        orders.finishRound(
                (proxy, parts, mark) -> {
                    List<String> words = new ArrayList<>();
                    for (int i = 0; i < parts.size(); i++) {
                        boolean last = i == parts.size() - 1;
                        words.add(
                                String.join(
                                        " ",
                                        writer.toWords(parts.get(i), last ? mark : -1, !last)));
                    }
                    sent.put(proxy, proxy.value() + "> " + String.join("; ", words));
                });
        return String.join(" ", sent.values());
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
    void ordersBecomeMessages(String played, String told) {
        play(played);
        assertEquals(told == null ? "" : told, sent());
    }

    @Test
    void whatAProxyCannotUseIsNeverWritten() {
        UpdatePart unknown = UpdatePart.ofExclusions(List.of(new NodeId(9)), List.of());
        assertThrows(IllegalStateException.class, () -> writer.encode(List.of(unknown), 1));
        for (double weight : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            UpdatePart line =
                    new UpdatePart(
                            List.of(),
                            false,
                            java.util.Map.of(nodes.register("A"), weight),
                            Double.NaN,
                            List.of(),
                            List.of());
            assertThrows(IllegalStateException.class, () -> writer.encode(List.of(line), 1));
        }
    }
}
