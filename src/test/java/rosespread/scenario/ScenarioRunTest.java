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
    private static final List<String> RULES =
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
    void keepsAllRulesOnAShortDay() throws Exception {
        Report report = play("short-day", Main.class.getName());
        assertTrue(report.hasPassed(), report.text());
        for (String rule :
                List.of("noProxyWithoutNode", "noEffectTwice", "drainsKept", "shortQueue")) {
            assertTrue(report.checked(rule) > 0, rule + " was not seen\n" + report.text());
        }
        assertTrue(report.service() > 0.8, report.text());
        assertTrue(report.events().size() >= 9, report.text());
        // Two that come close together may change places on a busy machine.
        assertEquals(
                report.events().stream().sorted().toList(),
                play("short-day", Main.class.getName()).events().stream().sorted().toList(),
                "the same day twice");
    }

    @ParameterizedTest
    @CsvSource({
        "IGNORES_DRAINS,drainsKept,DRAINING",
        "FLOODS_COLD,noColdNodePushedOver,fell over",
        "REPEATS,noEffectTwice,took effect again",
        "EMPTIES,noProxyWithoutNode,no line to pick",
        "FLOODS_CHANNEL,shortQueue,lines waiting"
    })
    void namesTheRuleThatAFaultyPolicyBreaks(String fault, String rule, String words)
            throws Exception {
        Report report = play("bad-planner", FaultyController.class.getName(), fault);
        assertFalse(report.hasPassed(), report.text());
        assertTrue(
                report.violations(rule).stream()
                        .anyMatch(text -> text.contains(words) && text.matches("(?s).*[0-9] s.*")),
                report.text());
        if (!fault.equals("FLOODS_CHANNEL")) {
            RULES.stream()
                    .filter(other -> !other.equals(rule))
                    .forEach(
                            other ->
                                    assertEquals(
                                            List.of(), report.violations(other), report.text()));
        }
    }

    /**
     * The same wrong tables, validated before rollout: none reaches a proxy, and the rules hold.
     */
    @ParameterizedTest
    @CsvSource({"IGNORES_DRAINS", "FLOODS_COLD", "EMPTIES", "BAD_TABLES"})
    void tableValidatorKeepsWrongTablesFromProxies(String fault) throws Exception {
        Report report = play("bad-planner", FaultyController.class.getName(), fault, "gated");
        assertTrue(report.hasPassed(), report.text());
    }

    @Test
    void drawsTheSameDayFromTheSameSeed() throws Exception {
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
    void namesLineAndFieldOfAFault(String from, String to, String expectedMessage)
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
    void saysWhereAScenarioIsMissing() {
        assertThrows(ScenarioException.class, () -> ScenarioReader.load("no-such-day"));
    }
}
