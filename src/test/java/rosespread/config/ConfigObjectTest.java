package rosespread.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class ConfigObjectTest {
    private static ConfigObject parse(String json) throws IOException, ConfigException {
        try (JsonParser parser = new JsonFactory().createParser(json.replace('\'', '"'))) {
            parser.nextToken();
            return ConfigObject.of("root", ConfigObject.read(parser));
        }
    }

    private static void assertError(
            String path, String expected, String message, Executable access) {
        ConfigException error = assertThrows(ConfigException.class, access);
        assertEquals(Optional.of(path), error.path());
        assertEquals(Optional.of(expected), error.expected());
        assertEquals(message, error.getMessage());
    }

    @Test
    void readsFieldsByType() throws Exception {
        ConfigObject object =
                parse(
                        "{'text':'t','flag':true,'number':1.5,'whole':4000000000,"
                                + "'seconds':0.25,'inner':{'a':1},'list':[{'a':1},{'a':2}]}");
        assertEquals("t", object.text("text"));
        assertTrue(object.booleanValue("flag"));
        assertEquals(1.5, object.number("number"));
        assertEquals(4_000_000_000L, object.longValue("whole"));
        assertEquals(250_000_000L, object.secondsAsNanos("seconds"));
        assertEquals(1, object.object("inner").integer("a"));
        assertEquals(2, object.objects("list").get(1).integer("a"));
    }

    @Test
    void returnsDefaultsForMissingAndNullFields() throws Exception {
        ConfigObject object = parse("{'nothing':null}");
        assertFalse(object.has("nothing"));
        assertFalse(object.booleanValue("nothing"));
        assertEquals("d", object.text("nothing", "d"));
        assertEquals(7, object.integer("other", 7));
        assertEquals(List.of(), object.objects("other"));
        assertEquals(Double.NaN, object.numberAt("other", 0));
    }

    @Test
    void reportsWrongTypeWithPathAndExpectedType() throws Exception {
        ConfigObject object = parse("{'inner':{'a':'x'},'list':[1],'n':1}");
        assertError(
                "root.inner.a",
                "a number",
                "root.inner.a is not a number",
                () -> object.object("inner").number("a"));
        assertError(
                "root.list entry",
                "an object",
                "root.list entry is not an object",
                () -> object.objects("list"));
        assertError("root.n", "a string", "root.n is not a string", () -> object.text("n"));
        assertError("root.n", "an array", "root.n is not an array", () -> object.objects("n"));
        assertError(
                "root.n",
                "true or false",
                "root.n is not true or false",
                () -> object.booleanValue("n"));
    }

    @Test
    void reportsMissingFieldWithPath() throws Exception {
        ConfigObject object = parse("{}");
        assertError("root.a", "a value", "root lacks \"a\"", () -> object.text("a"));
        assertError("root.a", "a value", "root lacks \"a\"", () -> object.requiredObjects("a"));
    }

    @Test
    void rejectsValueThatIsNotObject() {
        assertError("root", "an object", "root is not an object", () -> parse("[]"));
    }
}
