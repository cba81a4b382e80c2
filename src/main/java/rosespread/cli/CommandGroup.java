package rosespread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only has subcommands; without one it prints its usage and fails. */
abstract class CommandGroup implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public final Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitCodes.BAD_INPUT;
    }
}
