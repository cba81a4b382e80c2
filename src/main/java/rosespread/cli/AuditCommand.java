package rosespread.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rosespread.audit.AuditLog;

/** Checks an audit log's chain. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Checks that no line of an audit log was changed, taken out or put in later.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:the chain holds",
            "1:it does not, or the file cannot be read",
            "2:bad input"
        },
        footer = {"", "Example: rosespread audit ./state/audit.log"})
final class AuditCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(file)) {
            throw new ParameterException(spec.commandLine(), file + " is not a file");
        }
        AuditLog.Verification verdict = AuditLog.verify(file);
        if (verdict.fault().isEmpty()) {
            spec.commandLine()
                    .getOut()
                    .println(verdict.lines() + " lines, chain " + verdict.chain());
            return 0;
        }
        spec.commandLine().getErr().println(file + ": " + verdict.fault());
        return 1;
    }
}
