package rosespread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import rosespread.scenario.ScenarioException;

/** A command on a scenario's fakes. */
abstract class TestbedSubcommand implements Callable<Integer> {
    @Mixin private TestbedOptions options;
    @Spec private CommandSpec spec;

    /**
     * Does the command's work.
     *
     * @param arguments the checked arguments
     * @throws ScenarioException if the scenario is unknown or malformed
     */
    abstract void run(TestbedOptions arguments) throws Exception;

    @Override
    public final Integer call() throws Exception {
        options.validate();
        try {
            run(options);
            return ExitCodes.DONE;
        } catch (ScenarioException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return ExitCodes.BAD_INPUT;
        }
    }
}
