package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.channel.Frame;

/** Responses of a complete controller's control API, mainly to invalid requests. */
class ControllerApiTest {
    @TempDir private Path folder;
    private LoopbackController loopback;

    @BeforeEach
    void start() throws IOException {
        loopback = new LoopbackController(folder);
        loopback.applySettings();
    }

    @AfterEach
    void stop() throws IOException {
        loopback.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST|/v1/nodes/zz/drain||404|no node zz among 2 listed",
                "GET|/v1/nodes/n/drain||405|supports only POST",
                "POST|/v1/nodes/n/stop||404|expected /v1/nodes",
                "POST|/v1/nodes/n/drain|if-match: soon|400|header if-match is soon",
                "POST|/v1/nodes/n/drain|x-operator: a b|400|header x-operator",
                "POST|/v1/nodes/n/drain?force=yes||404|expected /v1/nodes",
                "POST|/v1/nodes/n%40127.0.0.1%3A9/drain?force=true||200|revision",
                "PUT|/v1/settings|if-match: 7|412|revision 1 was applied by unnamed",
                "PUT|/v1/settings?dry-run=yes||400|nothing was applied",
                "PUT|/v1/settings?dry-run=true||200|good",
                "DELETE|/v1/settings||405|supports only GET and PUT",
                "GET|/v1/nodes||200|triedAgoMs"
            })
    void answersNodeAndSettingsRequests(
            String method, String path, String header, int status, String text) throws Exception {
        String body = method.equals("PUT") ? loopback.settings() : "";
        String[] headers = header == null ? new String[0] : new String[] {header};
        String response = loopback.call(method, path, body, headers);
        assertTrue(response.startsWith("HTTP/1.1 " + status) && response.contains(text), response);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET|/v1/tables/1/diff?from=1&to=999|404|table 1 does not keep version 999",
                "GET|/v1/tables/1/diff?from=0&to=1|404|table 1 does not keep version 0",
                "GET|/v1/tables/77/diff?from=1&to=1|404|no table 77",
                "GET|/v1/tables/1/diff?from=1|404|expected /v1/tables/N",
                "GET|/v1/tables/x|404|expected /v1/tables/N",
                "GET|/v1/tables/1/diff?from=1&to=1|200|lines",
                "POST|/v1/tables/1/rollback?version=999|409|has no version 999 any more",
                "POST|/v1/tables/1/rollback|400|version is null",
                "POST|/v1/tables/1/release|409|table 1 is not held",
                "GET|/v1/tables/1/pin|405|supports only POST",
                "POST|/v1/tables/77/pin|409|no table 77"
            })
    void answersTableRequests(String method, String path, int status, String text)
            throws Exception {
        loopback.connect().join("p").await(Frame.Bind.class);
        String response = loopback.call(method, path, "");
        assertTrue(response.startsWith("HTTP/1.1 " + status) && response.contains(text), response);
    }
}
