package rosespread.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RespParserTest {
    private static final RespLimits LIMITS = new RespLimits(4096, 16);

    private static List<List<String>> parse(byte[] bytes, Random cuts) throws RespException {
        List<List<String>> parsed = new ArrayList<>();
        RespParser parser = new RespParser(LIMITS, parsed::add);
        for (int at = 0; at < bytes.length; ) {
            int part =
                    cuts == null ? bytes.length : Math.min(bytes.length - at, 1 + cuts.nextInt(5));
            parser.feed(ByteBuffer.wrap(bytes, at, part));
            at += part;
        }
        return parsed;
    }

    @Property(seed = "1", tries = 300)
    void writtenMessagesAreParsedAlikeAtAnyCut(
            @ForAll @Size(min = 1, max = 6) List<@Size(min = 1, max = 16) List<String>> messages,
            @ForAll long cuts)
            throws RespException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        messages.removeIf(
                m ->
                        RespWriter.encode(m).length > LIMITS.maxBytes()
                                || !m.stream()
                                        .allMatch(StandardCharsets.UTF_8.newEncoder()::canEncode));
        messages.forEach(message -> RespWriter.write(message, out));
        assertEquals(messages, parse(out.toByteArray(), new Random(cuts)));
    }

    @Property(seed = "2", tries = 2000)
    void corruptedBytesGiveTheSameOutcomeAtAnyCut(@ForAll long seed) {
        Random random = new Random(seed);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        RespWriter.write(List.of("attach", "node", "17"), out);
        RespWriter.write(List.of("hb"), out);
        byte[] bytes = out.toByteArray();
        for (int i = 0; i < 2; i++) {
            bytes[random.nextInt(bytes.length)] =
                    (byte)
                            (random.nextBoolean()
                                    ? random.nextInt(256)
                                    : "*$0129\r\n".charAt(random.nextInt(8)));
        }
        assertEquals(outcome(bytes, null), outcome(bytes, new Random(seed)));
    }

    private static String outcome(byte[] bytes, Random cuts) {
        try {
            return parse(bytes, cuts).toString();
        } catch (RespException e) {
            return e.getMessage();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET / HTTP/1.1            | '*' expected, not byte 71 (byte 0)",
                "*1~:5~                    | '$' expected, not byte 58 (byte 4)",
                "*-1~                      | not a length of at most 9 digits (byte 1)",
                "*0~                       | 0 strings, not 1 to 16 (byte 3)",
                "*17~                      | 17 strings, not 1 to 16 (byte 4)",
                "*1~$4097~                 | message over 4096 bytes (byte 10)",
                "*1~$99999999999~          | not a length of at most 9 digits (byte 14)",
                "*1~$2~hbx                 | CR expected, not byte 120 (byte 10)",
                "*2~$4000~                 | ",
                "*1~$~                     | not a length of at most 9 digits (byte 5)"
            })
    void malformedBytesAreReportedWithTheirOffset(String text, String expected)
            throws RespException {
        byte[] bytes = text.replace("~", "\r\n").getBytes(StandardCharsets.US_ASCII);
        if (expected == null) {
            assertTrue(parse(bytes, null).isEmpty());
        } else {
            assertEquals(
                    expected,
                    assertThrows(RespException.class, () -> parse(bytes, null)).getMessage());
        }
    }
}
