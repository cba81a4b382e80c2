package rosespread.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import rosespread.http.HttpMessage;

/** Builds responses with an indented JSON body that ends with a line break. */
final class JsonResponses {
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private JsonResponses() {}

    /** Builds a response of status 200 whose body is the value as Jackson maps it. */
    static HttpMessage.Response ok(Object body) throws JsonProcessingException {
        return of(200, body);
    }

    static HttpMessage.Response of(int status, Object body) throws JsonProcessingException {
        return HttpMessage.Response.json(status, JSON.writeValueAsString(body) + "\n");
    }

    /** Creates an empty object for the caller to fill. */
    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Parses the body of a response, which must be JSON. */
    static JsonNode body(HttpMessage.Response response) throws IOException {
        return JSON.readTree(response.body());
    }
}
