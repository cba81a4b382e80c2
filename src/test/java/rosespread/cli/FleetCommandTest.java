package rosespread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.controller.Controller;
import rosespread.controller.ControllerStatus;

/** {@code fleet} against three controllers that list four nodes. */
class FleetCommandTest {
    @TempDir private Path folder;
    private FleetFixture fixture;

    @BeforeEach
    void startFleet() throws IOException {
        fixture = new FleetFixture(folder);
    }

    @AfterEach
    void stopFleet() throws IOException {
        fixture.close();
    }

    private static void assertExitCode(int expected, ProgramRun run) {
        assertEquals(expected, run.exitCode(), run.text());
    }

    private static void assertContains(String text, String part) {
        assertTrue(text.contains(part), text);
    }

    private static long count(String text, String part) {
        return text.lines().filter(line -> line.contains(part)).count();
    }

    private long revisionOfFirstController() {
        return fixture.controller(0).settings().orElseThrow().revision();
    }

    private static List<String> nodesDrainedByAna(Controller controller) {
        return controller.status().nodes().stream()
                .filter(node -> node.drainedBy().equals("ana"))
                .map(ControllerStatus.Node::name)
                .toList();
    }

    @Test
    void appliesComparesAndShowsSettingsAtAllControllers() {
        ProgramRun applied = fixture.applySettings();
        assertEquals(3, count(applied.out(), "applied as revision 1"));

        ProgramRun status = fixture.fleet("status");
        assertExitCode(0, status);
        assertEquals(4, status.out().lines().count(), status.out());
        assertContains(status.out(), "4 ready");

        String changed =
                fixture.settings().replace("\"drainGraceMs\":2000", "\"drainGraceMs\":2500");
        ProgramRun diff = fixture.fleet(changed, "settings diff");
        assertExitCode(0, diff);
        assertContains(diff.out(), "drainGraceMs: 2000 -> 2500");

        ProgramRun shown = fixture.fleet("settings show");
        assertExitCode(0, shown);
        assertContains(shown.out(), "\"drainGraceMs\" : 2000");
    }

    @Test
    void appliesInvalidSettingsNowhere() {
        fixture.applySettings();

        ProgramRun applied = fixture.fleet(fixture.invalidSettings(), "settings apply");
        assertExitCode(1, applied);
        assertContains(applied.out(), "field cold.timeMs is -1");
        assertContains(applied.out(), "nothing was applied anywhere");

        assertExitCode(1, fixture.fleet(fixture.invalidSettings(), "settings apply --dry-run"));
        assertEquals(1, revisionOfFirstController());
    }

    @Test
    void appliesSettingsNowhereIfOneControllerDoesNotRespond() {
        fixture.applySettings();
        fixture.stop(1);

        ProgramRun applied = fixture.fleet(fixture.settings(), "settings apply --timeout 1");
        assertExitCode(1, applied);
        assertContains(applied.out(), "nothing was applied anywhere");
        assertEquals(1, revisionOfFirstController());
    }

    @Test
    void drainReachesAllControllersAndIsLoggedByEach() {
        fixture.applySettings();

        ProgramRun drained = fixture.fleet("drain n1 --wait 8");
        assertExitCode(0, drained);
        assertContains(drained.out(), "n1 is empty");

        ProgramRun nodes = fixture.fleet("nodes");
        assertExitCode(0, nodes);
        assertTrue(nodes.out().lines().anyMatch(FleetCommandTest::isN1DrainedByAna), nodes.out());

        assertExitCode(0, fixture.fleet("undrain n1"));

        ProgramRun log = fixture.fleet("log");
        assertExitCode(0, log);
        long done = log.out().lines().filter(FleetCommandTest::isActionOfAnaOnN1Done).count();
        assertEquals(6, done, log.out());
        for (int i = 0; i < FleetFixture.CONTROLLERS; i++) {
            assertExitCode(0, ProgramRun.of("audit " + fixture.auditLog(i)));
        }
    }

    private static boolean isN1DrainedByAna(String line) {
        return line.startsWith("n1") && line.contains("DRAINING, drained by ana");
    }

    private static boolean isActionOfAnaOnN1Done(String line) {
        return line.contains("ana") && line.contains("n1/") && line.contains("200 done");
    }

    @Test
    void drainIsPartlyDoneAndRepeatableIfOneControllerDoesNotRespond() {
        fixture.applySettings();
        fixture.stop(2);

        ProgramRun drained = fixture.fleet("drain n1 --timeout 1");
        assertExitCode(4, drained);
        assertEquals(2, count(drained.out(), "done"));
        assertEquals(1, drained.err().lines().count(), drained.err());

        assertExitCode(4, fixture.fleet("drain n1 --timeout 1"));
        for (Controller controller : fixture.controllers().subList(0, 2)) {
            assertEquals(List.of("n1"), nodesDrainedByAna(controller));
        }
    }

    @Test
    void drainGuardRejectsAtAllControllersUnlessForced() {
        fixture.applySettings();
        assertExitCode(0, fixture.fleet("drain n0"));
        assertExitCode(0, fixture.fleet("drain n1"));

        ProgramRun rejected = fixture.fleet("drain n2");
        assertExitCode(1, rejected);
        assertContains(
                rejected.err(),
                "method quote would keep 1.00 of 4.00 capacity (25%); at least 50%");

        assertExitCode(0, fixture.fleet("drain n2 --force"));
        ProgramRun status = fixture.fleet("status");
        assertExitCode(0, status);
        assertContains(status.out(), "3 draining, 1 ready");
    }

    @Test
    void statusNamesControllersThatDoNotDrainNode() {
        fixture.applySettings();
        ProgramRun.of("fleet drain n1 --fleet " + fixture.address(0));

        ProgramRun status = fixture.fleet("status");
        String others = fixture.address(1) + ", " + fixture.address(2);
        assertExitCode(0, status);
        assertContains(status.out(), "! node n1 is drained, but not at " + others);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "drain zz|1|no node zz among 4 listed",
                "drain n1 --timeout 0|2|--timeout is 0.0; allowed: over 0 to 600",
                "drain|2|Missing required parameter",
                "drains n1|2|Unmatched arguments",
                "drain n1 --wait soon|2|'soon' is not a double"
            })
    void rejectsInvalidCommandWithReason(String command, int exitCode, String reason) {
        fixture.applySettings();
        ProgramRun run = fixture.fleet(command);
        assertExitCode(exitCode, run);
        assertContains(run.err(), reason);
    }
}
