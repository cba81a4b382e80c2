package rosespread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Former names of subcommands do what the current ones do, and say which these are. */
class FormerNamesTest {
    @TempDir private Path folder;

    /** What one run of the program gave. */
    private record Outcome(int exitCode, List<String> out, List<String> err) {
        private static Outcome of(String commandLine) {
            StringWriter out = new StringWriter();
            StringWriter err = new StringWriter();
            int exitCode =
                    Main.run(
                            new PrintWriter(out, true),
                            new PrintWriter(err, true),
                            commandLine.split(" "));
            return new Outcome(
                    exitCode, out.toString().lines().toList(), err.toString().lines().toList());
        }
    }

    private static String notice(String formerName, String currentName) {
        return "rosespread: '"
                + formerName
                + "' is a former name; the current one is '"
                + currentName
                + "'";
    }

    @ParameterizedTest
    @CsvSource({
        "conductor,controller,--nosuch,2",
        "conductor,controller,--state ./c --listen nowhere,2",
        "conductor,controller,--help,0",
        "standin,testbed,,2",
        "standin,testbed,settings nosuch-day,2",
        "standin,testbed,site quiet-day --list-port 0,2",
        "standin,testbed,settings --help,0",
        "rehearse,scenario,nosuch-day,2",
        "rehearse,scenario,bad-day --seed x,2",
        "rehearse,scenario,--help,0"
    })
    void aFormerNameGivesTheSameExitCodeAndOutputAndOneMoreLineOnStandardError(
            String formerName, String currentName, String arguments, int exitCode) {
        String suffix = arguments == null ? "" : " " + arguments;
        Outcome current = Outcome.of(currentName + suffix);
        Outcome former = Outcome.of(formerName + suffix);
        assertEquals(exitCode, current.exitCode());
        assertEquals(exitCode, former.exitCode());
        assertEquals(notice(formerName, currentName), former.err().get(0));
        assertEquals(current.err().size() + 1, former.err().size(), former.err().toString());
        assertEquals(current.out().size(), former.out().size(), former.out().toString());
    }

    @ParameterizedTest
    @CsvSource({"conductor,controller", "standin,testbed", "rehearse,scenario"})
    void usageAndItsExamplesNameTheCurrentSubcommand(String formerName, String currentName) {
        List<String> usage = Outcome.of(currentName + " --help").out();
        assertEquals(0, usage.get(0).indexOf("Usage: rosespread " + currentName + " "));
        assertFalse(usage.toString().contains("rosespread " + formerName), usage.toString());
    }

    @ParameterizedTest
    @CsvSource({"conductor", "standin", "rehearse"})
    void formerNamesAreNotListedAmongTheSubcommands(String formerName) {
        List<String> usage = Outcome.of("--help").out();
        assertFalse(
                usage.stream().anyMatch(line -> line.startsWith("  " + formerName + " ")),
                usage.toString());
    }

    @Test
    void aFailureWhileRunningIsReportedUnderTheNameThatWasUsed() throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        String arguments = " --state " + file.resolve("state");
        Outcome current = Outcome.of("controller" + arguments);
        Outcome former = Outcome.of("conductor" + arguments);
        assertEquals(1, current.exitCode());
        assertEquals(1, former.exitCode());
        assertEquals(1, current.err().size(), current.err().toString());
        assertEquals(
                List.of(
                        notice("conductor", "controller"),
                        current.err().get(0).replace("controller: ", "conductor: ")),
                former.err());
    }

    @Test
    void currentNamesSayNothingOfNames() {
        assertEquals(
                List.of("nosuch-day: neither a file nor a scenario that ships with the program"),
                Outcome.of("scenario nosuch-day").err());
    }
}
