package rosespread.scenario;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Digests of a controller's tables by table and version. Not safe for use by several threads. */
final class TableVersions {
    private final Map<Integer, TreeMap<Long, Long>> digests = new TreeMap<>();

    /** Adds a version; the digest that was added first for a version stays. */
    void add(int table, long version, long digest) {
        digests.computeIfAbsent(table, id -> new TreeMap<>()).putIfAbsent(version, digest);
    }

    TableVersions copy() {
        TableVersions copy = new TableVersions();
        digests.forEach((table, versions) -> copy.digests.put(table, new TreeMap<>(versions)));
        return copy;
    }

    Optional<Long> digest(int table, long version) {
        return Optional.ofNullable(versions(table).get(version));
    }

    /** Whether a version is older than the oldest held version of its table. */
    boolean isOlderThanHeld(int table, long version) {
        TreeMap<Long, Long> versions = versions(table);
        return !versions.isEmpty() && version < versions.firstKey();
    }

    /** Passes each table's number and its digests by version to the consumer, in table order. */
    void forEach(BiConsumer<Integer, Map<Long, Long>> consumer) {
        digests.forEach(consumer);
    }

    private TreeMap<Long, Long> versions(int table) {
        return digests.getOrDefault(table, new TreeMap<>());
    }
}
