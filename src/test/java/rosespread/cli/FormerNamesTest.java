package rosespread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Former names of subcommands work as the current names do, and print the current names. */
class FormerNamesTest {
    @TempDir private Path folder;

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
    void formerNameGivesSameExitCodeAndOutputPlusNoticeOnStandardError(
            String formerName, String currentName, String arguments, int exitCode) {
        String suffix = arguments == null ? "" : " " + arguments;
        ProgramRun current = ProgramRun.of(currentName + suffix);
        ProgramRun former = ProgramRun.of(formerName + suffix);
        assertEquals(exitCode, current.exitCode());
        assertEquals(exitCode, former.exitCode());
        String notice = notice(formerName, currentName) + "\n";
        assertEquals(
                words(notice + current.err()),
                words(renamed(former.err(), formerName, currentName)));
        assertEquals(words(current.out()), words(renamed(former.out(), formerName, currentName)));
    }

    /** Replaces the former name in a usage text, which names the subcommand as it was invoked. */
    private static String renamed(String text, String formerName, String currentName) {
        return text.replace("Usage: rosespread " + formerName, "Usage: rosespread " + currentName);
    }

    /** Splits into words, since usage texts wrap differently for names of different lengths. */
    private static List<String> words(String text) {
        return List.of(text.strip().split("\\s+"));
    }

    @ParameterizedTest
    @CsvSource({"conductor,controller", "standin,testbed", "rehearse,scenario"})
    void usageAndItsExamplesUseCurrentName(String formerName, String currentName) {
        List<String> usage = ProgramRun.of(currentName + " --help").outLines();
        assertEquals(0, usage.get(0).indexOf("Usage: rosespread " + currentName + " "));
        assertFalse(usage.toString().contains("rosespread " + formerName), usage.toString());
    }

    @ParameterizedTest
    @CsvSource({"conductor", "standin", "rehearse"})
    void programUsageOmitsFormerNames(String formerName) {
        List<String> usage = ProgramRun.of("--help").outLines();
        assertFalse(
                usage.stream().anyMatch(line -> line.startsWith("  " + formerName + " ")),
                usage.toString());
    }

    @Test
    void reportsFailureUnderInvokedName() throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        String arguments = " --state " + file.resolve("state");
        ProgramRun current = ProgramRun.of("controller" + arguments);
        ProgramRun former = ProgramRun.of("conductor" + arguments);
        assertEquals(1, current.exitCode());
        assertEquals(1, former.exitCode());
        assertEquals(1, current.errLines().size(), current.errLines().toString());
        assertEquals(
                List.of(
                        notice("conductor", "controller"),
                        current.errLines().get(0).replace("controller: ", "conductor: ")),
                former.errLines());
    }

    @Test
    void printsNoNoticeForCurrentName() {
        assertEquals(
                List.of("nosuch-day: neither a file nor a scenario that ships with the program"),
                ProgramRun.of("scenario nosuch-day").errLines());
    }
}
