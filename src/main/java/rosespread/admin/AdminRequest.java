package rosespread.admin;

import rosespread.http.HttpMessage;

/**
 * A request to the API.
 *
 * @param http the request as it came
 * @param context what its headers say of operator, idempotency and revision
 */
record AdminRequest(HttpMessage.Request http, RequestContext context) {
    boolean hasMethod(String method) {
        return http.method().equals(method);
    }

    /** The target without its query. */
    String path() {
        return http.path();
    }

    /** Path and query as they came. */
    String target() {
        return http.target();
    }
}
