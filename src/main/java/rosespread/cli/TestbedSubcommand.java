package rosespread.cli;

import picocli.CommandLine.Mixin;
import rosespread.scenario.ScenarioException;

/** A command on a scenario's fakes. */
abstract class TestbedSubcommand extends PrintingCommand {
    @Mixin private TestbedOptions options;

    /**
     * Does the command's work.
     *
     * @param arguments the checked arguments
     * @throws ScenarioException if the scenario is unknown or malformed
     */
    abstract void run(TestbedOptions arguments) throws Exception;

    @Override
    final int execute() throws Exception {
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
