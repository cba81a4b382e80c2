package rosespread.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/** One JSON object from bytes. */
final class JsonReader {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonReader() {}

    /**
     * @throws ConfigException naming line and column, if the bytes are not one object
     */
    static ConfigObject object(String what, byte[] bytes) throws ConfigException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            Object value = parser.nextToken() == null ? null : ConfigObject.read(parser);
            if (parser.nextToken() != null) {
                throw new ConfigException(what + " goes on after its end");
            }
            return ConfigObject.of(what, value);
        } catch (JsonProcessingException e) {
            throw new ConfigException(
                    what
                            + " is not JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new ConfigException(what + " can't be read: " + e.getMessage());
        }
    }
}
