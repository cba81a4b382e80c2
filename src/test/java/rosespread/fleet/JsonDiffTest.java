package rosespread.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JsonDiffTest {
    private static List<String> changes(String before, String after) {
        return JsonDiff.between(FleetResponses.json(before), FleetResponses.json(after)).stream()
                .map(FieldChange::describe)
                .toList();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"a\":1}|{\"a\":2}|a: 1 -> 2",
                "{\"a\":\"x\"}|{\"a\":null}|a: \"x\" -> null",
                "{\"a\":{\"b\":[1,2]}}|{\"a\":{\"b\":[1,3]}}|a.b[1]: 2 -> 3",
                "{\"a\":[1]}|{\"a\":[1,2]}|a[1]: none -> 2",
                "{\"a\":1,\"b\":2}|{\"a\":1}|b: 2 -> none",
                "{\"a\":1}|{\"a\":1.0}|a: 1 -> 1.0"
            })
    void changeHasPathAndBothValues(String before, String after, String change) {
        assertEquals(List.of(change), changes(before, after));
    }

    @Test
    void changesAreSortedByPath() {
        assertEquals(
                List.of("a: 1 -> none", "b.c: 1 -> 2", "d: none -> 1"),
                changes("{\"b\":{\"c\":1},\"a\":1}", "{\"d\":1,\"b\":{\"c\":2}}"));
    }

    @Test
    void equalDocumentsHaveNoChanges() {
        assertEquals(List.of(), changes("{\"a\":[1,{}]}", "{\"a\":[1,{}]}"));
    }

    @Test
    void everyLeafIsNewIfFormerDocumentIsMissing() {
        List<FieldChange> changes =
                JsonDiff.between(
                        MissingNode.getInstance(), FleetResponses.json("{\"a\":1,\"b\":[2]}"));
        assertEquals(
                List.of("a: none -> 1", "b[0]: none -> 2"),
                changes.stream().map(FieldChange::describe).toList());
    }
}
