package rosespread.cli;

import java.io.IOException;
import picocli.CommandLine.Mixin;
import rosespread.scenario.ScenarioException;

/** A command on a scenario's fakes. */
abstract class TestbedSubcommand extends PrintingCommand {
    @Mixin private TestbedOptions options;

    /**
     * Runs the command.
     *
     * @param arguments the checked arguments
     * @throws IOException if a file cannot be read or a port cannot be bound
     * @throws ScenarioException if the scenario is unknown or malformed
     * @throws InterruptedException if interrupted while the fakes run
     */
    abstract void run(TestbedOptions arguments)
            throws IOException, ScenarioException, InterruptedException;

    @Override
    final int execute() throws IOException, InterruptedException {
        options.validate();
        try {
            run(options);
            return ExitCodes.DONE;
        } catch (ScenarioException e) {
            err().println(e.getMessage());
            return ExitCodes.BAD_INPUT;
        }
    }
}
