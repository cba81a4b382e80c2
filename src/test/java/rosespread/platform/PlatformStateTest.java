package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.ConfigException;

/**
 * What the decision thread keeps of streams, tickets and lists, driven by a clock of the test's
 * own.
 */
class PlatformStateTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ProxyId PROXY = new ProxyId(3);
    private long now = 100 * SECOND;
    private boolean faulty;
    private final PlatformState core;

    PlatformStateTest() throws ConfigException {
        PlatformConfig config =
                PlatformFixture.parse(
                        PlatformFixture.config("127.0.0.1:1", "127.0.0.1:2")
                                .replace("\"probes\":false", "\"probes\":true"));
        core =
                new PlatformState(
                        config,
                        new PlatformState.HealthCheckSender() {
                            @Override
                            public void checkHealth(NodeId node, NodeEntry target) {
                                if (faulty) {
                                    throw new NoClassDefFoundError("on purpose, within a round");
                                }
                            }

                            @Override
                            public String seen() {
                                return "";
                            }
                        },
                        new PlatformMetrics(),
                        0);
    }

    private static final class Stream implements ProxyConnection {
        final List<String> written = new ArrayList<>();
        boolean closed;

        @Override
        public void write(byte[] message) {
            written.add(
                    new String(message, StandardCharsets.UTF_8)
                            .replaceAll("\r\n(\\$[0-9]+\r\n)?", " "));
        }

        @Override
        public long writeBufferBytes() {
            return 0;
        }

        @Override
        public void close() {
            closed = true;
        }

        int ticket() {
            Matcher ticket =
                    Pattern.compile("ticket ([0-9]+)").matcher(written.get(written.size() - 1));
            assertTrue(ticket.find(), written.toString());
            return Integer.parseInt(ticket.group(1));
        }
    }

    private Stream join() {
        Stream stream = new Stream();
        core.proxyJoined(now, stream, new Message.ProxyJoin(PROXY, new ZoneId(0), 5, true));
        return stream;
    }

    private void run(double seconds) {
        for (long until = now + Math.round(seconds * SECOND); now < until; now += SECOND / 50) {
            core.runDue(now);
        }
    }

    private void done(ProxyConnection stream, int ticket) {
        core.acknowledged(now, stream, new Message.Acknowledgement(PROXY, ticket, SECOND / 10));
    }

    @Test
    void aModuleThatFailsAgainAndAgainTakesNoAnswerOfAnEarlierOne() {
        Stream stream = join();
        run(0.2);
        int first = stream.ticket();
        for (int fault = 1; fault <= 9; fault++) {
            int before = stream.written.size();
            faulty = true;
            run(5);
            faulty = false;
            run(2);
            assertTrue(stream.written.size() > before, "the new module binds it again");
            done(stream, first);
            assertTrue(core.seen().contains(" stray " + fault + " "), "after fault " + fault);
        }
        done(stream, stream.ticket());
        assertTrue(core.seen().contains(" stray 9 "));
    }

    @Test
    void theLateEndOfAStreamThatWasReplacedTakesNothingAcrossAModuleBegunAnew() {
        Stream old = join();
        run(0.2);
        Stream fresh = join();
        assertTrue(old.closed);
        faulty = true;
        run(5);
        faulty = false;
        run(2);
        core.connectionClosed(now, old, PROXY);
        done(old, fresh.ticket());
        assertTrue(core.seen().startsWith("joined 1 bound 1 "), "the fresh stream stands");
        assertTrue(core.seen().contains(" stray 1 "));
        core.connectionClosed(now, fresh, PROXY);
        assertTrue(core.seen().startsWith("joined 0 "));
    }

    @Test
    void aWholeListWithoutANodeTakesNothingAway() {
        Stream stream = join();
        run(1);
        done(stream, stream.ticket());
        run(1);
        int before = stream.written.size();
        core.nodeListReceived(now, new NodeList(9, true, List.of()));
        run(2);
        assertTrue(core.seen().contains(" listed 1 "));
        assertEquals(before, stream.written.size(), stream.written.toString());
    }

    /**
     * A node under a new name was never shut out; one that started anew may have been, by another
     * conductor.
     */
    @Test
    void aYoungNodeIsLetBackOnlyIfItWasThereBefore() throws ConfigException {
        String young =
                PlatformFixture.node("s-2", "SERVING")
                        .replace("\"started_ms\":0", "\"started_ms\":5000");
        String again =
                PlatformFixture.node("s-1", "SERVING")
                        .replace("\"started_ms\":0", "\"started_ms\":5000");
        for (String node : List.of(young, again)) {
            core.nodeListReceived(
                    now,
                    NodeList.parse(
                            ("{\"version\":8,\"full\":false,\"servers\":[" + node + "]}")
                                    .getBytes(StandardCharsets.UTF_8)));
        }
        run(20);
        Stream stream = join();
        run(1);
        assertTrue(stream.written.get(0).contains("s-2:"), stream.written.toString());
        assertTrue(stream.written.get(0).contains(" back s-1 "), stream.written.toString());
    }
}
