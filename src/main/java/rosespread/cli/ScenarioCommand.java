package rosespread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rosespread.scenario.Report;
import rosespread.scenario.ScenarioException;
import rosespread.scenario.ScenarioRun;

/** Runs a fault scenario on loopback and checks the five invariants on its sockets' traffic. */
@Command(
        name = "scenario",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Runs a fault scenario on loopback and checks the five invariants on its sockets'"
                        + " traffic.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:all invariants held",
            "1:the scenario could not be run",
            "2:bad input",
            "3:an invariant was violated"
        },
        footer = {"", "Example: rosespread scenario bad-day --seed 7 --out day.json"})
final class ScenarioCommand extends PrintingCommand {
    @Parameters(
            paramLabel = "SCENARIO",
            description =
                    "bad-day, quiet-day, full-size, rollback-day, kill-day, drain-day, or the path of"
                            + " a scenario file.")
    private String scenario;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the random choices (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--out", paramLabel = "<out>", description = "File for the report, as JSON.")
    private Path reportFile;

    @Option(
            names = "--no-conductor",
            description =
                    "Runs without controllers, for comparison: proxies keep their initial tables.")
    private boolean withoutController;

    @Override
    int execute() throws IOException {
        try {
            return print(run());
        } catch (ScenarioException e) {
            err().println(e.getMessage());
            return ExitCodes.BAD_INPUT;
        }
    }

    private Report run() throws IOException, ScenarioException {
        String controllerClass = Main.class.getName();
        List<String> controllerArguments = List.of();
        return ScenarioRun.play(
                scenario,
                new ScenarioRun.Options(
                        seed, !withoutController, controllerClass, controllerArguments));
    }

    private int print(Report report) throws IOException {
        if (reportFile != null) {
            Files.writeString(reportFile, report.json());
        }
        out().print(report.text());
        return report.hasPassed() ? ExitCodes.DONE : ExitCodes.INVARIANT_VIOLATED;
    }
}
