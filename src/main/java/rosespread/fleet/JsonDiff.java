package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two JSON documents leaf by leaf. */
public final class JsonDiff {
    private JsonDiff() {}

    /**
     * Lists the leaves that differ, sorted by path. Values are compared as JSON text, so that 1 and
     * 1.0 differ. An empty object or array has no leaves.
     *
     * @param before the former document; a missing node stands for no document
     * @param after the new document
     */
    public static List<FieldChange> between(JsonNode before, JsonNode after) {
        SortedMap<String, String> formerLeaves = leaves(before);
        SortedMap<String, String> newLeaves = leaves(after);
        TreeSet<String> paths = new TreeSet<>(formerLeaves.keySet());
        paths.addAll(newLeaves.keySet());
        List<FieldChange> changes = new ArrayList<>();
        for (String path : paths) {
            Optional<String> from = Optional.ofNullable(formerLeaves.get(path));
            Optional<String> to = Optional.ofNullable(newLeaves.get(path));
            if (!from.equals(to)) {
                changes.add(new FieldChange(path, from, to));
            }
        }
        return changes;
    }

    private static SortedMap<String, String> leaves(JsonNode document) {
        SortedMap<String, String> leaves = new TreeMap<>();
        collectLeaves("", document, leaves);
        return leaves;
    }

    private static void collectLeaves(
            String path, JsonNode node, SortedMap<String, String> leaves) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            node.properties()
                    .forEach(
                            field ->
                                    collectLeaves(
                                            prefix + field.getKey(), field.getValue(), leaves));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                collectLeaves(path + "[" + i + "]", node.get(i), leaves);
            }
        } else if (!node.isMissingNode()) {
            leaves.put(path, node.toString());
        }
    }
}
