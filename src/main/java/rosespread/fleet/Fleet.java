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
 * A client of several controllers' control APIs. A request to all of them is sent at once, and each
 * controller's response stands for itself: an error or a missing response is a {@link
 * FleetResponse}, never an exception.
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
     * Creates a client; connections are made as requests need them.
     *
     * @param controllers control addresses, in the order in which responses are returned
     * @param operator the name that controllers write into their audit logs
     * @param timeoutNanos how long one request may take, connecting included
     */
    public Fleet(List<InetSocketAddress> controllers, String operator, long timeoutNanos) {
        this.controllers = List.copyOf(controllers);
        this.operator = operator;
        this.timeoutNanos = timeoutNanos;
    }

    /** The control addresses, in the order given. */
    public List<InetSocketAddress> controllers() {
        return controllers;
    }

    /**
     * Sends one request to all controllers at once and waits for all responses.
     *
     * @param verb the HTTP method
     * @param path path and query
     * @param body the request's body, empty for none
     * @param headers names and values in turn
     * @return a response for each controller, in the order of {@link #controllers()}
     */
    public List<FleetResponse> request(String verb, String path, String body, String... headers) {
        List<CompletableFuture<FleetResponse>> pending =
                controllers.stream()
                        .map(controller -> send(controller, verb, path, body, headers))
                        .toList();
        return pending.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Sends a request to one controller, which need not be one of {@link #controllers()}, and waits
     * for its response.
     *
     * @param controller the control address
     * @param verb the HTTP method
     * @param path path and query
     * @param body the request's body, empty for none
     * @param headers names and values in turn
     */
    public FleetResponse request(
            InetSocketAddress controller,
            String verb,
            String path,
            String body,
            String... headers) {
        return send(controller, verb, path, body, headers).join();
    }

    private CompletableFuture<FleetResponse> send(
            InetSocketAddress controller,
            String verb,
            String path,
            String body,
            String... headers) {
        HttpHeaders allHeaders =
                HttpHeaders.of(headers).add("host", text(controller)).add("x-operator", operator);
        HttpMessage.Request request =
                new HttpMessage.Request(
                        verb, path, allHeaders, body.getBytes(StandardCharsets.UTF_8));
        ResponseFuture future = new ResponseFuture(controller);
        http.call(controller, request, timeoutNanos, future);
        return future.response;
    }

    /** A control address as HOST:PORT, with the host as it was given. */
    static String text(InetSocketAddress controller) {
        return controller.getHostString() + ":" + controller.getPort();
    }

    @Override
    public void close() {
        http.close();
    }

    /** Completes a future with a call's outcome, on the HTTP client's threads. */
    private static final class ResponseFuture implements HttpClient.ResponseHandler {
        private final InetSocketAddress controller;
        private final CompletableFuture<FleetResponse> response = new CompletableFuture<>();

        ResponseFuture(InetSocketAddress controller) {
            this.controller = controller;
        }

        @Override
        public void onResponse(HttpMessage.Response answer) {
            response.complete(
                    FleetResponse.received(controller, answer.status(), parse(answer.body())));
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
                // The status alone says how the request ended.
                return MissingNode.getInstance();
            }
        }
    }
}
