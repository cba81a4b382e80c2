package rosespread.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

public class SettingsTest {
    public static final String VALID_SETTINGS =
            """
            {"zones":["a","b"],"kinds":["k"],
             "methods":[{"name":"quote","criticality":1},{"name":"book","criticality":3,"onlyKinds":["k"]}],
             "list":{"port":8500,"service":"nodes"},"levels":"rate",
             "channel":{"linesPerSecond":1000,"linesPerMessage":10,"queueLimit":1500,"messageLimit":30},
             "reportPeriodMs":1000,"drainGraceMs":2000,
             "cold":{"timeMs":16000,"share":0.2,"windowMs":1500}}""";

    @Test
    void policySettingsAreReadInNanoseconds() throws SettingsException {
        FleetSettings settings = SettingsReader.read(VALID_SETTINGS);
        assertEquals(2_000_000_000L, settings.policySettings().drainTimeoutNanos());
        assertEquals(2, settings.policySettings().zones());
        assertEquals(1, settings.policySettings().methods().get(1).allowedMachineTypes().size());
        assertEquals(10_000_000_000L, settings.channel().messageWindowNanos());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"zones\":[\"a\",\"b\"]|\"zones\":[\"a\",\"a\"]|zones[1]|\"a\"",
                "\"port\":8500|\"port\":70000|list.port|70000",
                "\"port\":8500|\"port\":\"8500\"|list.port|\"8500\"",
                "\"onlyKinds\":[\"k\"]|\"onlyKinds\":[\"z\"]|methods[1].onlyKinds[0]|\"z\"",
                "\"name\":\"book\"|\"name\":\"quote\"|methods[1].name|\"quote\"",
                "\"levels\":\"rate\"|\"levels\":\"fast\"|levels|\"fast\"",
                "\"linesPerSecond\":1000|\"linesPerSecond\":0|channel.linesPerSecond|0",
                "\"linesPerSecond\":1000|\"linesPerSecnd\":1000|channel.linesPerSecond|missing",
                "\"share\":0.2|\"share\":1.2|cold.share|1.2",
                "\"cold\":{|\"cold\":7,\"x\":{|cold|7",
                "\"drainGraceMs\":2000|\"drainGraceMs\":2000,\"drainGraceMs\":1|(whole)|line 5",
                "\"zones\"|zones|(whole)|line 1, column"
            })
    void invalidFieldIsReportedWithValueAndAllowedValues(
            String from, String to, String field, String value) {
        SettingsException error =
                assertThrows(
                        SettingsException.class,
                        () -> SettingsReader.read(VALID_SETTINGS.replace(from, to)));
        assertTrue(
                error.invalidFields().stream()
                        .anyMatch(
                                f ->
                                        f.field().equals(field)
                                                && f.found().startsWith(value)
                                                && !f.allowed().isEmpty()),
                error.getMessage());
    }

    @Test
    void allInvalidFieldsAreReportedAtOnce() {
        SettingsException error =
                assertThrows(SettingsException.class, () -> SettingsReader.read("{}"));
        assertTrue(error.invalidFields().size() > 8, error.getMessage());
    }
}
