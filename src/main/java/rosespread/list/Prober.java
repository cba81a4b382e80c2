package rosespread.list;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import rosespread.api.Observer.Verdict;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/** Probes a node by one GET; 429 and 503 are a push-back, other statuses from 400 on an abort. */
public final class Prober {
    private final HttpClient http;
    private final String path;
    private final long timeout;

    public Prober(HttpClient http, String path, long timeout) {
        this.http = http;
        this.path = path;
        this.timeout = timeout;
    }

    public void probe(InetSocketAddress node, Consumer<Verdict> then) {
        HttpMessage.Call call =
                new HttpMessage.Call(
                        "GET",
                        path,
                        HttpHeaders.of("host", node.getHostString() + ":" + node.getPort()),
                        new byte[0]);
        http.call(
                node,
                call,
                timeout,
                new HttpClient.Taker() {
                    @Override
                    public void answered(HttpMessage.Answer answer) {
                        int status = answer.status();
                        then.accept(
                                status < 400
                                        ? Verdict.OK
                                        : status == 429 || status == 503
                                                ? Verdict.PUSHED_BACK
                                                : Verdict.ABORTED);
                    }

                    @Override
                    public void failed(HttpClient.Failure failure, String detail) {
                        then.accept(
                                switch (failure) {
                                    case TIMED_OUT -> Verdict.TIMED_OUT;
                                    case MALFORMED -> Verdict.ABORTED;
                                    default -> Verdict.UNREACHABLE;
                                });
                    }
                });
    }
}
