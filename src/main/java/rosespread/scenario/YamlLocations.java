package rosespread.scenario;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** The line of each field in a YAML text. Immutable. */
final class YamlLocations {
    private final Map<String, Integer> linesByPath;

    private YamlLocations(Map<String, Integer> linesByPath) {
        this.linesByPath = linesByPath;
    }

    /**
     * Finds the fields of a text.
     *
     * @throws IOException if the text is not valid YAML
     */
    static YamlLocations of(String text) throws IOException {
        Map<String, Integer> lines = new TreeMap<>();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                lines.putIfAbsent(
                        path(parser.getParsingContext()),
                        parser.currentTokenLocation().getLineNr());
            }
        }
        return new YamlLocations(lines);
    }

    private static String path(JsonStreamContext context) {
        if (context.getParent() == null) {
            return "";
        }
        String parent = path(context.getParent());
        if (context.inArray()) {
            return parent + "[" + Math.max(0, context.getCurrentIndex()) + "]";
        }
        String name = context.getCurrentName();
        if (name == null) {
            return parent;
        }
        return parent.isEmpty() ? name : parent + "." + name;
    }

    /**
     * The line of a field, from 1; for a missing field the line of the nearest enclosing field.
     *
     * @param field a path such as {@code troubles[1].what.share}
     */
    int lineOf(String field) {
        String path = field;
        while (!path.isEmpty() && !linesByPath.containsKey(path)) {
            int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
            path = path.substring(0, Math.max(0, end));
        }
        return linesByPath.getOrDefault(path, 1);
    }
}
