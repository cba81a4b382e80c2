package rosespread.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

/**
 * The result of one run of the program within this process.
 *
 * @param out the text on standard output
 * @param err the text on standard error
 */
record ProgramRun(int exitCode, String out, String err) {
    /** Runs the program with arguments that contain no spaces. */
    static ProgramRun of(String commandLine) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode =
                Main.run(
                        new PrintWriter(out, true),
                        new PrintWriter(err, true),
                        commandLine.split(" "));
        return new ProgramRun(exitCode, out.toString(), err.toString());
    }

    /** Both streams, for the message of a failed assertion. */
    String text() {
        return out + err;
    }

    List<String> outLines() {
        return out.lines().toList();
    }

    List<String> errLines() {
        return err.lines().toList();
    }
}
