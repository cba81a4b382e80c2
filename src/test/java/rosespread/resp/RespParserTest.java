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

    private static List<List<String>> parse(byte[] bytes, Random splits) throws RespException {
        List<List<String>> parsed = new ArrayList<>();
        RespParser parser = new RespParser(LIMITS, parsed::add);
        for (int offset = 0; offset < bytes.length; ) {
            int count =
                    splits == null
                            ? bytes.length
                            : Math.min(bytes.length - offset, 1 + splits.nextInt(5));
            parser.feed(ByteBuffer.wrap(bytes, offset, count));
            offset += count;
        }
        return parsed;
    }

    @Property(seed = "1", tries = 300)
    void parsesWrittenMessagesWhereverSplit(
            @ForAll @Size(min = 1, max = 6) List<@Size(min = 1, max = 16) List<String>> messages,
            @ForAll long splits)
            throws RespException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        messages.removeIf(
                m ->
                        RespWriter.encode(m).length > LIMITS.maxBytes()
                                || !m.stream()
                                        .allMatch(StandardCharsets.UTF_8.newEncoder()::canEncode));
        messages.forEach(message -> RespWriter.write(message, out));
        assertEquals(messages, parse(out.toByteArray(), new Random(splits)));
    }

    @Property(seed = "2", tries = 2000)
    void corruptedBytesGiveSameOutcomeWhereverSplit(@ForAll long seed) {
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

    private static String outcome(byte[] bytes, Random splits) {
        try {
            return parse(bytes, splits).toString();
        } catch (RespException e) {
            return e.getMessage();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET / HTTP/1.1            | expected '*', found byte value 71 (byte 0)",
                "*1~:5~                    | expected '$', found byte value 58 (byte 4)",
                "*-1~                      | expected a length of 1 to 9 digits and CR, found byte value 45 (byte 1)",
                "*0~                       | expected 1 to 16 strings, found 0 (byte 3)",
                "*17~                      | expected 1 to 16 strings, found 17 (byte 4)",
                "*1~$4097~                 | message exceeds 4096 bytes with a string of 4097 bytes (byte 10)",
                "*1~$99999999999~          | expected a length of 1 to 9 digits and CR, found byte value 57 (byte 14)",
                "*1~$2~hbx                 | expected CR, found byte value 120 (byte 10)",
                "*2~$4000~                 | ",
                "*1~$~                     | expected a length of 1 to 9 digits and CR, found byte value 13 (byte 5)"
            })
    void reportsMalformedBytesWithOffset(String text, String expected) throws RespException {
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
