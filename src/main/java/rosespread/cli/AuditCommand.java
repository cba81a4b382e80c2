package rosespread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import rosespread.audit.AuditLog;

/** Verifies the hash chain of an audit log. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Checks that no line of an audit log was changed, removed or inserted later.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:the hash chain is intact",
            "1:the hash chain is broken, or the file cannot be read",
            "2:bad input"
        },
        footer = {"", "Example: rosespread audit ./state/audit.log"})
final class AuditCommand extends PrintingCommand {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    int execute() throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new ParameterException(spec().commandLine(), file + " is not a file");
        }
        AuditLog.Verification verification = AuditLog.verify(file);
        if (!verification.fault().isEmpty()) {
            err().println(file + ": " + verification.fault());
            return ExitCodes.FAILED;
        }
        out().println(verification.lines() + " lines, chain " + verification.chain());
        return ExitCodes.DONE;
    }
}
