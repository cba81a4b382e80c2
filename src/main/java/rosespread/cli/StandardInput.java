package rosespread.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads the document that a command gets on standard input. */
final class StandardInput {
    private StandardInput() {}

    /** Reads standard input to its end, as UTF-8. */
    static String readAll() throws IOException {
        return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
    }
}
