package rosespread.discovery;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/** HealthChecks a node by one GET; 429 and 503 are a push-back, other statuses from 400 on an abort. */
public final class HealthChecker {
    private final HttpClient http;
    private final String path;
    private final long timeout;

    public HealthChecker(HttpClient http, String path, long timeout) {
        this.http = http;
        this.path = path;
        this.timeout = timeout;
    }

    public void check(InetSocketAddress node, Consumer<HealthCheckResult> then) {
        HttpMessage.Request call =
                new HttpMessage.Request(
                        "GET",
                        path,
                        HttpHeaders.of("host", node.getHostString() + ":" + node.getPort()),
                        new byte[0]);
        http.call(
                node,
                call,
                timeout,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response answer) {
                        int status = answer.status();
                        then.accept(
                                status < 400
                                        ? HealthCheckResult.PASSED
                                        : status == 429 || status == 503
                                                ? HealthCheckResult.REJECTED
                                                : HealthCheckResult.FAILED);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        then.accept(
                                switch (failure) {
                                    case TIMED_OUT -> HealthCheckResult.TIMED_OUT;
                                    case MALFORMED -> HealthCheckResult.FAILED;
                                    default -> HealthCheckResult.UNREACHABLE;
                                });
                    }
                });
    }
}
