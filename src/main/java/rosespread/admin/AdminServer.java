package rosespread.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.controller.DrainJson;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * The operators' HTTP API of a controller; docs/daemon.md lists its requests. A change names its
 * operator, may name the revision that it is based on and an idempotency key, under which it takes
 * effect once, and is written to the audit log.
 *
 * <p>I/O threads queue the requests and one worker thread answers them in order, since a change
 * waits for the disk. The caller closes the controller.
 */
public final class AdminServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

    /** Each connection has at most one request in the queue, and a budget limits their bytes. */
    private static final int MAX_QUEUED_REQUESTS = 4096;

    private final Resource router;
    private final HttpServer http;
    private final ExecutorService worker =
            new ThreadPoolExecutor(
                    1,
                    1,
                    0,
                    TimeUnit.SECONDS,
                    new LinkedBlockingQueue<>(MAX_QUEUED_REQUESTS),
                    AdminServer::newWorkerThread);

    /**
     * Prefix of generated idempotency keys. It distinguishes the keys of different processes; a
     * number distinguishes the keys of one process.
     */
    private final String generatedKeyPrefix = "own-" + System.currentTimeMillis() + "-";

    /** Number of idempotency keys generated so far. Owned by the worker thread. */
    private long generatedKeyCount;

    /** Creates a server without an audit log. */
    public AdminServer(Controller controller) {
        this(controller, null);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param auditLog the log that records changes; null for no log. The caller closes it.
     */
    public AdminServer(Controller controller, AuditLog auditLog) {
        this(new Router(routes(controller, new AuditTrail(Optional.ofNullable(auditLog)))));
    }

    /** Creates a server that answers all requests by one resource. */
    AdminServer(Resource router) {
        this.router = router;
        this.http = new HttpServer(1, HttpLimits.DEFAULT, this::enqueue);
    }

    private static List<Router.Route> routes(Controller controller, AuditTrail audit) {
        StatusReport report = new StatusReport(controller, audit);
        return List.of(
                Router.Route.exact("/v1/settings", new SettingsResource(controller, audit)),
                Router.Route.exact("/v1/status", new ReadOnlyResource(report::summary)),
                Router.Route.exact(
                        "/v1/state",
                        new ReadOnlyResource(() -> JsonResponses.ok(controller.status()))),
                Router.Route.exact("/v1/health", new ReadOnlyResource(report::health)),
                Router.Route.prefix("/v1/nodes", new NodesResource(controller, audit)),
                Router.Route.exact(
                        "/v1/drains",
                        new ReadOnlyResource(
                                () -> JsonResponses.ok(DrainJson.write(controller.drains())))),
                Router.Route.prefix("/v1/tables", new TablesResource(controller, audit)),
                Router.Route.exact(
                        "/v1/acts", new ReadOnlyResource(() -> JsonResponses.ok(audit.recent()))));
    }

    private static Thread newWorkerThread(Runnable task) {
        Thread thread = new Thread(task, "admin");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts to listen; port 0 selects a free port.
     *
     * @return the address with the port in use
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        InetSocketAddress bound = http.listen(address);
        LOG.atInfo().addKeyValue("address", bound).log("admin API listening");
        return bound;
    }

    /** Number of open connections. */
    int openConnections() {
        return http.openConnections();
    }

    /** Closes all connections and stops the worker thread; queued requests are dropped. */
    @Override
    public void close() {
        http.close();
        worker.shutdownNow();
    }

    private void enqueue(HttpMessage.Request request, HttpServer.Exchange exchange) {
        try {
            worker.execute(() -> answer(request, exchange));
        } catch (RejectedExecutionException e) {
            exchange.respond(
                    ProblemDetails.of(
                            503,
                            "request queue is full: "
                                    + MAX_QUEUED_REQUESTS
                                    + " requests are waiting"));
        }
    }

    /** Answers a request, unless its client has left: it may have sent the request again. */
    private void answer(HttpMessage.Request request, HttpServer.Exchange exchange) {
        if (!exchange.isClosed()) {
            exchange.respond(respond(request));
        }
    }

    private HttpMessage.Response respond(HttpMessage.Request request) {
        try {
            String generatedKey = generatedKeyPrefix + generatedKeyCount++;
            RequestContext context = RequestContext.of(request.headers(), generatedKey);
            return router.handle(new AdminRequest(request, context));
        } catch (IllegalArgumentException e) {
            return ProblemDetails.of(400, e.getMessage());
        } catch (IOException | RuntimeException e) {
            LOG.atError()
                    .setCause(e)
                    .addKeyValue("request", request.method() + " " + request.path())
                    .log("admin request failed");
            return ProblemDetails.of(500, "request failed; the cause is in the controller's log");
        }
    }
}
