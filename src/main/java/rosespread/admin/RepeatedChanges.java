package rosespread.admin;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import rosespread.http.HttpMessage;

/**
 * Remembers changes that took effect by the idempotency key that their client gave. A repeated one,
 * as after a lost response, gets the same response and has no further effect, even if other changes
 * were made since. Only this process remembers them, and only the most recent ones.
 *
 * <p>Owned by the worker thread.
 */
final class RepeatedChanges {
    private static final int MAX_REMEMBERED = 1024;
    private static final int OK = 200;

    private final Map<Change, HttpMessage.Response> responses =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<Change, HttpMessage.Response> eldest) {
                    return size() > MAX_REMEMBERED;
                }
            };

    private record Change(String idempotencyKey, String method, String target) {}

    /** Performs the change, or returns the response that it was answered with before. */
    HttpMessage.Response once(AdminRequest request, AuditTrail.Change change) throws IOException {
        if (!request.context().keyGiven()) {
            return change.perform();
        }
        Change key =
                new Change(
                        request.context().idempotencyKey(),
                        request.http().method(),
                        request.target());
        HttpMessage.Response earlier = responses.get(key);
        if (earlier != null) {
            return earlier;
        }
        HttpMessage.Response response = change.perform();
        if (response.status() == OK) {
            responses.put(key, response);
        }
        return response;
    }
}
