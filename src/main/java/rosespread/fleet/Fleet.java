package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;

/**
 * A client of the control APIs of several controllers. A request to all controllers is sent to them
 * in parallel. Each controller has a result of its own: an error or a missing response is returned
 * as a {@link FleetResponse}, never thrown as an exception.
 *
 * <p>May be used by several threads. Every request blocks the calling thread for at most the
 * timeout given to the constructor.
 */
public final class Fleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int IO_THREADS = 1;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 10;

    private final List<InetSocketAddress> controllers;
    private final String operator;
    private final long timeoutNanos;
    private final HttpClient http =
            new HttpClient(IO_THREADS, HttpLimits.LARGE, CONNECT_TIMEOUT_MILLIS, IDLE_SECONDS);

    /**
     * Creates a client. Connections are opened on demand.
     *
     * @param controllers control addresses, in the order in which responses are returned
     * @param operator the operator's name that controllers write to their audit logs
     * @param timeoutNanos the maximum time of one request, including the time to connect, in
     *     nanoseconds
     */
    public Fleet(List<InetSocketAddress> controllers, String operator, long timeoutNanos) {
        this.controllers = List.copyOf(controllers);
        this.operator = operator;
        this.timeoutNanos = timeoutNanos;
    }

    /** Returns the control addresses, in the order given to the constructor. */
    public List<InetSocketAddress> controllers() {
        return controllers;
    }

    /**
     * Sends one request to all controllers in parallel and waits for all responses.
     *
     * @param httpMethod the HTTP method
     * @param path the path and query
     * @param body the request's body, empty for none
     * @param headers alternating names and values
     * @return a response for each controller, in the order of {@link #controllers()}
     */
    public List<FleetResponse> request(
            String httpMethod, String path, String body, String... headers) {
        List<CompletableFuture<FleetResponse>> pendingResponses =
                controllers.stream()
                        .map(controller -> send(controller, httpMethod, path, body, headers))
                        .toList();
        return pendingResponses.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Sends a request to one controller, which need not be one of {@link #controllers()}, and waits
     * for its response.
     *
     * @param controller the control address
     * @param httpMethod the HTTP method
     * @param path the path and query
     * @param body the request's body, empty for none
     * @param headers alternating names and values
     */
    public FleetResponse request(
            InetSocketAddress controller,
            String httpMethod,
            String path,
            String body,
            String... headers) {
        return send(controller, httpMethod, path, body, headers).join();
    }

    private CompletableFuture<FleetResponse> send(
            InetSocketAddress controller,
            String httpMethod,
            String path,
            String body,
            String... headers) {
        HttpHeaders allHeaders =
                HttpHeaders.of(headers)
                        .add("host", hostAndPort(controller))
                        .add("x-operator", operator);
        HttpMessage.Request request =
                new HttpMessage.Request(
                        httpMethod, path, allHeaders, body.getBytes(StandardCharsets.UTF_8));
        ResponseFuture future = new ResponseFuture(controller);
        http.call(controller, request, timeoutNanos, future);
        return future.response;
    }

    /** Returns a control address as HOST:PORT, with the host as it was given. */
    static String hostAndPort(InetSocketAddress controller) {
        return controller.getHostString() + ":" + controller.getPort();
    }

    @Override
    public void close() {
        http.close();
    }

    /** Completes a future with the outcome of an HTTP request, on a thread of the HTTP client. */
    private static final class ResponseFuture implements HttpClient.ResponseHandler {
        private final InetSocketAddress controller;
        private final CompletableFuture<FleetResponse> response = new CompletableFuture<>();

        ResponseFuture(InetSocketAddress controller) {
            this.controller = controller;
        }

        @Override
        public void onResponse(HttpMessage.Response httpResponse) {
            response.complete(
                    FleetResponse.received(
                            controller, httpResponse.status(), parse(httpResponse.body())));
        }

        @Override
        public void onFailure(HttpClient.Failure failure, String detail) {
            boolean mayHaveRun = failure != HttpClient.Failure.NOT_CONNECTED;
            response.complete(FleetResponse.missing(controller, detail, mayHaveRun));
        }

        private static JsonNode parse(byte[] body) {
            try {
                JsonNode parsed = JSON.readTree(body);
                return parsed == null ? MissingNode.getInstance() : parsed;
            } catch (IOException e) {
                // A body that is not JSON is ignored: the status says how the request ended.
                return MissingNode.getInstance();
            }
        }
    }
}
