package rosespread.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import rosespread.settings.JsonFields;
import rosespread.settings.SettingsException;

/** Reads scenarios: those in the jar by name, others by path. */
final class ScenarioReader {
    private static final String SHIPPED_NAME = "[a-z0-9-]+";

    private ScenarioReader() {}

    /**
     * Reads the scenario of a name or path.
     *
     * @throws ScenarioException if there is none, or it is faulty, with file, line and field
     * @throws IOException if the file cannot be read
     */
    static Scenario load(String nameOrPath) throws IOException, ScenarioException {
        if (nameOrPath.matches(SHIPPED_NAME)) {
            String resource = "/scenarios/" + nameOrPath + ".yaml";
            try (InputStream in = ScenarioReader.class.getResourceAsStream(resource)) {
                if (in != null) {
                    return parse(nameOrPath, new String(in.readAllBytes(), StandardCharsets.UTF_8));
                }
            }
        }
        Path path = Path.of(nameOrPath);
        if (!Files.isRegularFile(path)) {
            throw new ScenarioException(
                    nameOrPath + ": neither a file nor a scenario that ships with the program");
        }
        return parse(nameOrPath, Files.readString(path));
    }

    /**
     * Reads a scenario from YAML.
     *
     * @param file names the text in messages
     * @throws ScenarioException if it is faulty, with a line for each fault
     */
    static Scenario parse(String file, String text) throws ScenarioException {
        try {
            JsonNode tree = new YAMLMapper().readTree(text);
            YamlLocations locations = YamlLocations.of(text);
            return toScenario(file, new JsonFields(tree), locations);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new ScenarioException(file + ":" + line + ": not YAML: " + reason, e);
        } catch (IOException e) {
            throw new ScenarioException(file + ": " + e.getMessage(), e);
        }
    }

    private static Scenario toScenario(String file, JsonFields fields, YamlLocations locations)
            throws ScenarioException {
        try {
            Scenario scenario = new ScenarioFields(fields).read();
            fields.throwIfInvalid();
            return scenario;
        } catch (SettingsException e) {
            throw new ScenarioException(
                    e.invalidFields().stream()
                            .map(
                                    fault ->
                                            String.format(
                                                    "%s:%d: field %s is %s; allowed: %s",
                                                    file,
                                                    locations.lineOf(fault.field()),
                                                    fault.field(),
                                                    fault.found(),
                                                    fault.allowed()))
                            .collect(Collectors.joining("\n")),
                    e);
        }
    }
}
