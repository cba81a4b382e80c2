package rosespread.admin;

import java.io.IOException;
import rosespread.http.HttpMessage;

/** A resource that supports only GET; a query is ignored. */
final class ReadOnlyResource implements Resource {
    /** Builds the response to a GET. */
    @FunctionalInterface
    interface Reader {
        HttpMessage.Response read() throws IOException;
    }

    private final Reader reader;

    ReadOnlyResource(Reader reader) {
        this.reader = reader;
    }

    @Override
    public HttpMessage.Response handle(AdminRequest request) throws IOException {
        return request.hasMethod("GET")
                ? reader.read()
                : ProblemDetails.methodNotAllowed("GET", request);
    }
}
