package rosespread.discovery;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Checks the health of a node with one GET request. A status below 400 means that the check passed;
 * 429 or 503 that the node is running but rejected the request; any other status that the check
 * failed.
 *
 * <p>Thread-safe and stateless.
 */
public final class HealthChecker {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient http;
    private final String path;
    private final long timeoutNanos;

    /**
     * Creates a health checker.
     *
     * @param path the path of the health checks on the nodes
     * @param timeoutNanos the time limit of a response in nanoseconds
     */
    public HealthChecker(HttpClient http, String path, long timeoutNanos) {
        this.http = http;
        this.path = path;
        this.timeoutNanos = timeoutNanos;
    }

    /**
     * Starts one health check.
     *
     * @param resultConsumer called once with the result, on an I/O or timer thread; must not block
     */
    public void check(InetSocketAddress node, Consumer<HealthCheckResult> resultConsumer) {
        http.call(
                node,
                request(node),
                timeoutNanos,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response response) {
                        resultConsumer.accept(resultOf(response.status()));
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        resultConsumer.accept(resultOf(failure));
                    }
                });
    }

    private HttpMessage.Request request(InetSocketAddress node) {
        String host = node.getHostString() + ":" + node.getPort();
        return new HttpMessage.Request("GET", path, HttpHeaders.of("host", host), new byte[0]);
    }

    private static HealthCheckResult resultOf(int status) {
        if (status < FIRST_ERROR_STATUS) {
            return HealthCheckResult.PASSED;
        }
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE
                ? HealthCheckResult.REJECTED
                : HealthCheckResult.FAILED;
    }

    private static HealthCheckResult resultOf(HttpClient.Failure failure) {
        return switch (failure) {
            case TIMED_OUT -> HealthCheckResult.TIMED_OUT;
            case MALFORMED -> HealthCheckResult.FAILED;
            default -> HealthCheckResult.UNREACHABLE;
        };
    }
}
