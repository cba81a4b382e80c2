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

/** Reads scenarios: built-in scenarios by name, others by path. */
final class ScenarioReader {
    private static final String BUILT_IN_NAME = "[a-z0-9-]+";

    private ScenarioReader() {}

    /**
     * Reads the scenario of a name or path.
     *
     * @throws ScenarioException if there is no such scenario, or if it is invalid; the message then
     *     names file, line and field
     * @throws IOException if the file cannot be read
     */
    static Scenario load(String nameOrPath) throws IOException, ScenarioException {
        if (nameOrPath.matches(BUILT_IN_NAME)) {
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
     * @param file the name of the text in messages
     * @throws ScenarioException if the text is not a valid scenario; the message has a line for
     *     each invalid field
     */
    static Scenario parse(String file, String text) throws ScenarioException {
        try {
            JsonNode tree = new YAMLMapper().readTree(text);
            YamlLocations locations = YamlLocations.of(text);
            return toScenario(file, new JsonFields(tree), locations);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new ScenarioException(file + ":" + line + ": invalid YAML: " + reason, e);
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
                                    field ->
                                            String.format(
                                                    "%s:%d: field %s is %s; allowed: %s",
                                                    file,
                                                    locations.lineOf(field.field()),
                                                    field.field(),
                                                    field.found(),
                                                    field.allowed()))
                            .collect(Collectors.joining("\n")),
                    e);
        }
    }
}
