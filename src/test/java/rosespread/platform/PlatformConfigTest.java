package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.config.ConfigException;

class PlatformConfigTest {
    @Test
    void readsRequiredFields() {
        PlatformConfig config = PlatformFixture.config();
        assertEquals("n1", config.name());
        assertEquals(20, config.proxies());
        assertEquals(256, config.maxSockets());
        assertEquals(Long.parseUnsignedLong("8c1f30d27a5be964", 16), config.seed());
        assertEquals(2, config.settings().methods().size());
        assertEquals("s-1", config.knownNodes().nodes().get(0).name());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"agents\":20 | \"agents\":0 | settings.domain.agents is 0, expected 1 to 65536",
                "\"profiles\" | \"others\" | settings lacks \"profiles\"",
                "\"channelRate\":1200.0 | \"channelRate\":\"x\" | domain.channelRate is not a number",
                "\"listen\":\"127.0.0.1:1\" | \"listen\":\"here:1\" | listen \"here:1\" is not an IPv4 address and port such as 10.0.0.4:3000",
                "\"discovery\":\"127.0.0.1:2\" | \"at\":1 | lacks \"discovery\"",
                "\"seed\":\"8c | \"seed\":\"zc | seed \"zc1f30d27a5be964\" is not up to 16 hexadecimal digits",
                "\"sockets\":256 | \"sockets\":\"many\" | limits.sockets is not a number",
                "\"id\":\"s-1\" | \"id\":\"s,1\" | entry 0 of servers: id \"s,1\" is not 1 to 255 characters without comma, colon, plus sign and white space",
                "\"state\":\"SERVING\" | \"state\":\"UP\" | entry 0 of servers: state \"UP\" is not known",
                "\"127.0.0.1:9\" | \"999.0.0.1:9\" | addr \"999.0.0.1:9\" is not an IPv4 address and port such as 10.0.0.4:3000",
                "\"started_ms\":0 | \"started_ms\":1e300 | entry 0 of servers: weight 1.0 or started_ms 9223372036854775807 is out of range",
                "\"weight\":1.0 | \"weight\":-1 | entry 0 of servers: weight -1.0 or started_ms 0 is out of range",
                "\"limits\":{ | \"limits\":[ | is not JSON at line 2"
            })
    void namesInvalidField(String valid, String invalid, String expected) {
        String text = PlatformFixture.config("127.0.0.1:1", "127.0.0.1:2");
        assertTrue(text.contains(valid));
        String message =
                assertThrows(
                                ConfigException.class,
                                () -> PlatformFixture.parse(text.replace(valid, invalid)))
                        .getMessage();
        assertTrue(message.contains(expected), message);
    }

    @Test
    void rejectsListTruncatedAtAnyCharacter() throws ConfigException {
        String text =
                "{\"version\":3,\"full\":false,\"servers\":["
                        + PlatformFixture.node("s-2", "DELETED")
                        + "]}";
        assertEquals(1, NodeList.parse(text.getBytes(StandardCharsets.UTF_8)).nodes().size());
        for (int length = 0; length < text.length(); length++) {
            byte[] truncated = text.substring(0, length).getBytes(StandardCharsets.UTF_8);
            assertThrows(ConfigException.class, () -> NodeList.parse(truncated));
        }
    }

    @Test
    void namesVariableIfFileIsMissing() {
        assertTrue(
                assertThrows(ConfigException.class, () -> PlatformConfig.read(Map.of()))
                        .getMessage()
                        .contains("ROUTER_CONFIG"));
    }
}
