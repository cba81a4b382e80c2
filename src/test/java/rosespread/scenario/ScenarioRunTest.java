package rosespread.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.cli.Main;

class ScenarioRunTest {
    private static final List<String> INVARIANTS =
            List.of(
                    "noProxyWithoutNode",
                    "noEffectTwice",
                    "drainsKept",
                    "noColdNodePushedOver",
                    "shortQueue",
                    "messagesPerProxy");

    private static Report play(String scenario, String main, String... arguments) throws Exception {
        return ScenarioRun.play(
                scenario, new ScenarioRun.Options(3, true, main, List.of(arguments)));
    }

    @Test
    void keepsInvariantsInShortScenario() throws Exception {
        Report report = play("short-day", Main.class.getName());
        assertTrue(report.hasPassed(), report.text());
        for (String invariant :
                List.of("noProxyWithoutNode", "noEffectTwice", "drainsKept", "shortQueue")) {
            assertTrue(
                    report.checked(invariant) > 0,
                    invariant + " was not checked\n" + report.text());
        }
        assertTrue(report.service() > 0.8, report.text());
        assertTrue(report.events().size() >= 9, report.text());
        // Two events in close succession may swap places on a busy machine.
        assertEquals(
                report.events().stream().sorted().toList(),
                play("short-day", Main.class.getName()).events().stream().sorted().toList(),
                "the same events in both runs");
    }

    @ParameterizedTest
    @CsvSource({
        "IGNORES_DRAINS,drainsKept,DRAINING",
        "OVERLOADS_WARMING_NODES,noColdNodePushedOver,was overloaded",
        "ALLOWS_ALL_RETRIES,noEffectTwice,took effect again",
        "EMPTIES_TABLES,noProxyWithoutNode,no weight entry to pick",
        "FLOODS_CHANNEL,shortQueue,entries waiting"
    })
    void reportsInvariantBrokenByFaultyPolicy(String fault, String invariant, String expectedText)
            throws Exception {
        Report report = play("bad-planner", FaultyController.class.getName(), fault);
        assertFalse(report.hasPassed(), report.text());
        assertTrue(
                report.violations(invariant).stream()
                        .anyMatch(
                                text ->
                                        text.contains(expectedText)
                                                && text.matches("(?s).*[0-9] s.*")),
                report.text());
        if (!fault.equals("FLOODS_CHANNEL")) {
            INVARIANTS.stream()
                    .filter(other -> !other.equals(invariant))
                    .forEach(
                            other ->
                                    assertEquals(
                                            List.of(), report.violations(other), report.text()));
        }
    }

    /**
     * Runs the same faults with table validation: no wrong table reaches a proxy, and no invariant
     * is violated.
     */
    @ParameterizedTest
    @CsvSource({"IGNORES_DRAINS", "OVERLOADS_WARMING_NODES", "EMPTIES_TABLES", "INVALID_WEIGHTS"})
    void validatorKeepsWrongTablesFromProxies(String fault) throws Exception {
        Report report = play("bad-planner", FaultyController.class.getName(), fault, "validated");
        assertTrue(report.hasPassed(), report.text());
    }

    @Test
    void drawsSameArrivalsFromSameSeed() throws Exception {
        Scenario scenario = ScenarioReader.load("bad-day");
        assertEquals(
                ArrivalGenerator.arrivals(scenario, 5), ArrivalGenerator.arrivals(scenario, 5));
        assertNotEquals(
                ArrivalGenerator.arrivals(scenario, 5), ArrivalGenerator.arrivals(scenario, 6));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "seconds: 12|seconds: twelve|bad:2: field seconds is \"twelve\"",
                "kind: drain|kind: flood|bad:19: field troubles[1].kind is \"flood\"",
                "effect: tokened|effect: once|bad:10: field methods[1].effect is \"once\"",
                "rate: 90|speed: 90|field rate is missing",
                "zones: [north|zones: [[north|bad:",
                "cores: 2, speed: 1.0|cores: -2, speed: 1.0|bad:6: field kinds.large.cores is -2"
            })
    void errorNamesLineAndFieldOfInvalidValue(String from, String to, String expectedMessage)
            throws Exception {
        String good =
                new String(
                        getClass().getResourceAsStream("/scenarios/short-day.yaml").readAllBytes(),
                        StandardCharsets.UTF_8);
        ScenarioReader.parse("good", good);
        String bad = good.replaceFirst(Pattern.quote(from), to);
        ScenarioException e =
                assertThrows(ScenarioException.class, () -> ScenarioReader.parse("bad", bad));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void rejectsMissingScenario() {
        assertThrows(ScenarioException.class, () -> ScenarioReader.load("no-such-day"));
    }
}
