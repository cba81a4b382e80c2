package rosespread.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that prints its results through the writers of picocli's command line. */
abstract class PrintingCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    /**
     * Runs the command.
     *
     * @return one of {@link ExitCodes}
     * @throws Exception if it failed; the message is printed and the exit code is {@link
     *     ExitCodes#FAILED}
     */
    abstract int execute() throws Exception;

    @Override
    public final Integer call() throws Exception {
        int exitCode = execute();
        out().flush();
        err().flush();
        return exitCode;
    }

    final CommandSpec spec() {
        return spec;
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    final PrintWriter err() {
        return spec.commandLine().getErr();
    }
}
