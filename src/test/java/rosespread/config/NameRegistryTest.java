package rosespread.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;

class NameRegistryTest {
    private static final Map<String, Object> SETTINGS =
            Map.of(
                    "azs",
                    List.of("a", "b"),
                    "kinds",
                    List.of("small"),
                    "profiles",
                    List.of(
                            Map.of("name", "quote", "importance", 1, "onlyKinds", List.of("big")),
                            Map.of("name", "book", "importance", 3, "onlyZones", List.of("b"))),
                    "domain",
                    Map.of(
                            "channelRate",
                            1000,
                            "overhead",
                            4,
                            "queueCap",
                            1500,
                            "reportEvery",
                            1,
                            "throttleBy",
                            "rps",
                            "zoneBound",
                            List.of(false, true)),
                    "contract",
                    Map.of("stopSendingWithin", 2, "cold", 16, "coldShare", 0.2, "overloadFor", 1),
                    "policyLimits",
                    Map.of(),
                    "report",
                    Map.of("columns", List.of("queue", "utilization")));

    private ConfigObject settings;
    private NameRegistry names;

    @BeforeEach
    void readSettings() throws ConfigException {
        settings = ConfigObject.of("settings", SETTINGS);
        names = new NameRegistry(settings);
    }

    @Test
    void usesPositionsOfConfiguredNamesAsIds() throws ConfigException {
        assertEquals(new ZoneId(1), names.zone("b"));
        assertEquals(new MachineTypeId(0), names.machineType("small"));
        assertEquals(new MethodId(1), names.method("book"));
        assertEquals(List.of("quote", "book"), names.methodNames());
    }

    @Test
    void givesNewZoneNextIdAndDoesNotReportItAsConfigured() {
        assertEquals(new ZoneId(2), names.zone("c"));
        assertTrue(names.isConfiguredZone("b"));
        assertFalse(names.isConfiguredZone("c"));
        assertFalse(names.isConfiguredZone("d"));
    }

    @Test
    void doesNotAddUnknownMethod() {
        assertThrows(ConfigException.class, () -> names.method("sell"));
        assertEquals(Optional.empty(), names.findMethod("sell"));
    }

    @Test
    void readsUtilizationFromItsColumn() throws ConfigException {
        ConfigObject report = ConfigObject.of("event", Map.of("report", List.of(3, 0.5)));
        ConfigObject shortReport = ConfigObject.of("event", Map.of("report", List.of(3)));
        assertEquals(0.5, names.utilization(report));
        assertEquals(Double.NaN, names.utilization(shortReport));
    }

    @Test
    void convertsNamesToIdsAndSecondsToNanoseconds() throws ConfigException {
        PolicySettings policySettings = new PolicySettingsReader(names).read(settings);
        assertEquals(2_000_000_000L, policySettings.drainTimeoutNanos());
        assertEquals(PolicySettings.Throttle.RATE, policySettings.throttle());
        assertEquals(
                List.of(
                        new PolicySettings.Method(1, Set.of(new MachineTypeId(1)), Set.of(), false),
                        new PolicySettings.Method(3, Set.of(), Set.of(new ZoneId(1)), true)),
                policySettings.methods());
    }
}
