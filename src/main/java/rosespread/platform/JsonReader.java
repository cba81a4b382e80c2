package rosespread.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/** Reads one JSON object from bytes, by the streaming parser alone, which loads quickly. */
final class JsonReader {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonReader() {}

    /**
     * Reads the object.
     *
     * @param what names the text in errors
     * @throws ConfigException naming line and column, if the bytes are not one object
     */
    static ConfigObject object(String what, byte[] bytes) throws ConfigException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            Object value = parser.nextToken() == null ? null : ConfigObject.read(parser);
            if (parser.nextToken() != null) {
                throw new ConfigException(what + " goes on after its end");
            }
            return ConfigObject.of(what, value);
        } catch (JsonProcessingException e) {
            throw new ConfigException(what + " is not JSON at " + place(e.getLocation()));
        } catch (IOException e) {
            throw new ConfigException(what + " can't be read: " + e.getMessage());
        }
    }

    private static String place(JsonLocation location) {
        return "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }
}
