package rosespread.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpParserTest {
    private static final HttpLimits LIMITS = new HttpLimits(64, 4, 120, 32);
    private static final String PIPELINED_REQUESTS =
            "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
                    + "POST /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                    + "2;x=y\r\nde\r\n1\r\nf\r\n0\r\nt: u\r\n\r\n"
                    + "GET /c HTTP/1.0\r\n\r\n";

    private static String describe(HttpMessage message) {
        if (message instanceof HttpMessage.Request request) {
            return String.join(
                    " ",
                    request.method(),
                    request.target(),
                    request.text(),
                    String.valueOf(request.keepsAlive()));
        }
        return ((HttpMessage.Response) message).status() + " " + message.text();
    }

    /** Parses the text, split at random, or in one piece if {@code cuts} is null. */
    private static List<String> read(boolean isRequest, String text, Random cuts)
            throws HttpException {
        List<String> read = new ArrayList<>();
        HttpParser.Mode mode = isRequest ? HttpParser.Mode.REQUESTS : HttpParser.Mode.RESPONSES;
        HttpParser parser = new HttpParser(mode, LIMITS, message -> read.add(describe(message)));
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int at = 0; at < bytes.length; ) {
            int part =
                    cuts == null ? bytes.length : Math.min(bytes.length - at, 1 + cuts.nextInt(9));
            parser.feed(ByteBuffer.wrap(bytes, at, part));
            at += part;
        }
        parser.end();
        return read;
    }

    @Property(seed = "1")
    void parsesPipelinedRequestsSplitAnywhere(@ForAll long splitSeed) throws HttpException {
        assertEquals(
                List.of("POST /a abc true", "POST /b def true", "GET /c  false"),
                read(true, PIPELINED_REQUESTS, new Random(splitSeed)));
    }

    @Property(seed = "2", tries = 2000)
    void throwsOnlyHttpException(@ForAll long mutationSeed, @ForAll boolean isRequest) {
        Random random = new Random(mutationSeed);
        byte[] bytes =
                (isRequest ? PIPELINED_REQUESTS : "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
                        .getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < 3; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        try {
            read(isRequest, new String(bytes, StandardCharsets.ISO_8859_1), random);
        } catch (HttpException e) {
            assertTrue(
                    e.status() >= 400 && e.getMessage().matches("(?s).*\\(byte \\d+\\)"),
                    e.getMessage());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~content-length: 2~~ab|200 ab",
                "HTTP/1.1 200 ~~to the end|200 to the end",
                "HTTP/1.1 204 No Content~content-length: 9~~|204",
                "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~content-length: 0~~|200"
            })
    void parsesResponses(String text, String read) throws HttpException {
        assertEquals(
                List.of(read),
                read(false, text.replace("~", "\r\n"), new Random(1)).stream()
                        .map(String::trim)
                        .toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "two lengths|POST / HTTP/1.1~content-length: 3~content-length: 4~~|400|content-length",
                "a list of lengths|POST / HTTP/1.1~content-length: 3, 3~~|400|content-length",
                "a signed length|POST / HTTP/1.1~content-length: +3~~|400|content-length",
                "both|POST / HTTP/1.1~content-length: 3~transfer-encoding: chunked~~|400|with content-length",
                "coding in HTTP/1.0|POST / HTTP/1.0~transfer-encoding: chunked~~|400|HTTP/1.0",
                "another coding|POST / HTTP/1.1~transfer-encoding: gzip~~|501|gzip",
                "space before colon|GET / HTTP/1.1~host : x~~|400|not a header field",
                "a folded line|GET / HTTP/1.1~a: b~ c~~|400|not a header field",
                "a bad chunk size|POST / HTTP/1.1~transfer-encoding: chunked~~0x2~|400|chunk size",
                "a chunk without end|POST / HTTP/1.1~transfer-encoding: chunked~~1~ab|400|CR without LF",
                "a long line|GET /aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa HTTP/1.1~~|414|64",
                "many headers|GET / HTTP/1.1~a: 1~b: 2~c: 3~d: 4~e: 5~~|431|over 4 header",
                "a large body|POST / HTTP/1.1~content-length: 33~~|413|over 32",
                "chunks|POST / HTTP/1.1~transfer-encoding: chunked~~20~01234567890123456789012345678901~1~|413|over",
                "no HTTP|hello there~|400|start line",
                "a stream that ends early|POST / HTTP/1.1~content-length: 3~~ab|400|ends within"
            })
    void rejectsAmbiguousOrInvalidRequests(
            String description, String text, int status, String expectedText) {
        String stream = text.replace("~", "\r\n");
        HttpException e =
                assertThrows(
                        HttpException.class,
                        () ->
                                read(
                                        true,
                                        description.startsWith("a chunk without")
                                                ? stream + "\rX"
                                                : stream,
                                        null),
                        description);
        assertEquals(status, e.status(), e.getMessage());
        assertTrue(e.getMessage().contains(expectedText), e.getMessage());
    }
}
