package rosespread.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import rosespread.launch.Fields;
import rosespread.launch.LaunchException;

/** One JSON object from bytes. */
final class Json {
    private static final JsonFactory JSON = new JsonFactory();

    private Json() {}

    /**
     * @throws LaunchException naming line and column, if the bytes are not one object
     */
    static Fields object(String what, byte[] bytes) throws LaunchException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            Object value = parser.nextToken() == null ? null : Fields.read(parser);
            if (parser.nextToken() != null) {
                throw new LaunchException(what + " goes on after its end");
            }
            return Fields.of(what, value);
        } catch (JsonProcessingException e) {
            throw new LaunchException(
                    what
                            + " is not JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new LaunchException(what + " can't be read: " + e.getMessage());
        }
    }
}
