package rosespread.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads a document that a command is given on standard input. */
final class StandardInput {
    private StandardInput() {}

    /** Reads to the end, as UTF-8. */
    static String readAll() throws IOException {
        return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
    }
}
