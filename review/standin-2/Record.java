package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each event, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long now() {
        return System.nanoTime();
    }

    double seconds(long nanos) {
        return (nanos - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s", seconds(now()), text);
        out.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
