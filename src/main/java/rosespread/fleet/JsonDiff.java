package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Which fields of one JSON document another would change. */
public final class JsonDiff {
    private JsonDiff() {}

    /** A line for each leaf that differs, by its path; "none" stands for one that is not there. */
    public static List<String> between(JsonNode before, JsonNode after) {
        Map<String, String> is = new TreeMap<>();
        Map<String, String> will = new TreeMap<>();
        leaves("", before, is);
        leaves("", after, will);
        TreeSet<String> paths = new TreeSet<>(is.keySet());
        paths.addAll(will.keySet());
        List<String> changes = new ArrayList<>();
        for (String path : paths) {
            String from = is.getOrDefault(path, "none");
            String to = will.getOrDefault(path, "none");
            if (!from.equals(to)) {
                changes.add(path + ": " + from + " -> " + to);
            }
        }
        return changes;
    }

    private static void leaves(String path, JsonNode node, Map<String, String> into) {
        if (node.isObject()) {
            node.properties()
                    .forEach(
                            field ->
                                    leaves(
                                            path.isEmpty()
                                                    ? field.getKey()
                                                    : path + "." + field.getKey(),
                                            field.getValue(),
                                            into));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                leaves(path + "[" + i + "]", node.get(i), into);
            }
        } else if (!node.isMissingNode()) {
            into.put(path, node.toString());
        }
    }
}
