package rosespread.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/** Reads one JSON object from bytes. Uses only the streaming parser, which loads quickly. */
final class JsonReader {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonReader() {}

    /**
     * Reads the object.
     *
     * @param document name of the document in errors
     * @throws ConfigException if the bytes are not exactly one JSON object; names line and column
     *     of a syntax error
     */
    static ConfigObject object(String document, byte[] bytes) throws ConfigException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            Object value = parser.nextToken() == null ? null : ConfigObject.read(parser);
            if (parser.nextToken() != null) {
                throw new ConfigException(document + " has data after its first JSON value");
            }
            return ConfigObject.of(document, value);
        } catch (JsonProcessingException e) {
            throw new ConfigException(document + " is not JSON at " + position(e.getLocation()));
        } catch (IOException e) {
            throw new ConfigException(document + " can't be read: " + e.getMessage());
        }
    }

    private static String position(JsonLocation location) {
        return "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }
}
