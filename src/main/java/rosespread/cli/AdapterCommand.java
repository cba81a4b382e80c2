package rosespread.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import rosespread.adapter.MalformedBatchException;
import rosespread.adapter.SimulatorAdapter;

/** Runs the routing policy for the operators' simulator, on standard input and output. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description =
                "Runs the routing policy for the simulator, on standard input and standard output.",
        footer = {"", "Example: rosespread adapter < batches > replies"})
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return adapt();
    }

    /**
     * Serves the simulator until it closes standard input. Does not use picocli, since {@link Main}
     * calls it directly.
     *
     * @return one of {@link ExitCodes}
     */
    static int adapt() {
        try {
            new SimulatorAdapter(System.in, System.out).run();
            return ExitCodes.DONE;
        } catch (MalformedBatchException | IOException e) {
            System.err.println("rosespread adapter: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }
}
