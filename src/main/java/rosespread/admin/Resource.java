package rosespread.admin;

import java.io.IOException;
import rosespread.http.HttpMessage;

/**
 * Answers the requests for one path, or for a path and all paths below it. Called by the worker
 * thread.
 */
@FunctionalInterface
interface Resource {
    /**
     * Answers a request; it may wait for the event loop and the disk.
     *
     * @throws IllegalArgumentException if the request is malformed; the message goes to the client
     *     with status 400
     * @throws IOException if the controller does not answer in time or a file cannot be written;
     *     the client gets status 500
     */
    HttpMessage.Response handle(AdminRequest request) throws IOException;
}
