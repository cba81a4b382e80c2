package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;

/** Several conductors that are asked alike, all at once; each answers for itself. */
public final class Fleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONNECT_MILLIS = 1000;
    private static final int IDLE_SECONDS = 10;

    private final List<InetSocketAddress> conductors;
    private final String operator;
    private final long nanos;
    private final HttpClient http =
            new HttpClient(1, HttpLimits.LARGE, CONNECT_MILLIS, IDLE_SECONDS);

    /**
     * @param nanos how long one call may take
     */
    public Fleet(List<InetSocketAddress> conductors, String operator, long nanos) {
        this.conductors = List.copyOf(conductors);
        this.operator = operator;
        this.nanos = nanos;
    }

    public List<InetSocketAddress> conductors() {
        return conductors;
    }

    /** Asks all; the replies stand in the conductors' order. */
    public List<FleetResponse> ask(String verb, String path, String body, String... headers) {
        List<CompletableFuture<FleetResponse>> asked = new ArrayList<>();
        for (InetSocketAddress conductor : conductors) {
            asked.add(start(conductor, verb, path, body, headers));
        }
        return asked.stream().map(CompletableFuture::join).toList();
    }

    /** Asks one. */
    public FleetResponse ask(
            InetSocketAddress conductor, String verb, String path, String body, String... headers) {
        return start(conductor, verb, path, body, headers).join();
    }

    private CompletableFuture<FleetResponse> start(
            InetSocketAddress to, String verb, String path, String body, String... headers) {
        CompletableFuture<FleetResponse> done = new CompletableFuture<>();
        HttpHeaders all =
                HttpHeaders.of(headers)
                        .add("host", to.getHostString() + ":" + to.getPort())
                        .add("x-operator", operator);
        http.call(
                to,
                new HttpMessage.Request(verb, path, all, body.getBytes(StandardCharsets.UTF_8)),
                nanos,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response answer) {
                        JsonNode read = read(answer.body());
                        done.complete(
                                new FleetResponse(
                                        to,
                                        answer.status(),
                                        read,
                                        read.path("detail").asText(""),
                                        true));
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        done.complete(
                                new FleetResponse(
                                        to,
                                        0,
                                        MissingNode.getInstance(),
                                        detail,
                                        failure != HttpClient.Failure.NOT_CONNECTED));
                    }
                });
        return done;
    }

    private static JsonNode read(byte[] body) {
        try {
            JsonNode read = JSON.readTree(body);
            return read == null ? MissingNode.getInstance() : read;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    @Override
    public void close() {
        http.close();
    }
}
