package rosespread.admin;

import rosespread.http.HttpMessage;

/**
 * A request to the admin API.
 *
 * @param http the HTTP request as received
 * @param context operator, idempotency key and expected revision, from the headers
 */
record AdminRequest(HttpMessage.Request http, RequestContext context) {
    boolean hasMethod(String method) {
        return http.method().equals(method);
    }

    /** The request target without its query. */
    String path() {
        return http.path();
    }

    /** The request target: path and query as received. */
    String target() {
        return http.target();
    }
}
