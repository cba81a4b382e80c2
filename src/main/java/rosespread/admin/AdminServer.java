package rosespread.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.controller.ControllerStatus;
import rosespread.controller.DrainJson;
import rosespread.controller.DrainRequest;
import rosespread.controller.DrainResult;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsFile;

/**
 * The API for operators; docs/daemon.md lists its calls. Acts name their caller, may name the
 * revision that they are made against and an id under which they are done once, and are audited.
 */
public final class AdminServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);
    private static final Pattern ONE = Pattern.compile("/v1/tables/([0-9]{1,5})");
    private static final Pattern ACT =
            Pattern.compile(
                    "/v1/tables/([0-9]{1,5})/(rollback|pin|release)(?:\\?version=([0-9]{1,18}))?");
    private static final Pattern DIFF =
            Pattern.compile("/v1/tables/([0-9]{1,5})/diff\\?from=([0-9]{1,18})&to=([0-9]{1,18})");
    private static final int WAITING_MOST = 64;

    private final ObjectMapper json =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
    private static final Pattern NODE_ACT =
            Pattern.compile("/v1/nodes/([^/?]{1,400})/(drain|undrain)(?:\\?force=(true|false))?");
    private final Controller conductor;
    private final AuditLog audit;
    private final String ownIds = "own-" + System.currentTimeMillis() + "-";
    private long ownId;
    private final HttpServer http;

    /** Saving a snapshot waits for the disk, which I/O threads must not. */
    private final ExecutorService worker =
            new ThreadPoolExecutor(
                    1,
                    1,
                    0,
                    TimeUnit.SECONDS,
                    new LinkedBlockingQueue<>(WAITING_MOST),
                    task -> {
                        Thread thread = new Thread(task, "control");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Without an audit log. */
    public AdminServer(Controller conductor) {
        this(conductor, null);
    }

    /**
     * @param audit where acts go, or null
     */
    public AdminServer(Controller conductor, AuditLog audit) {
        this.conductor = conductor;
        this.audit = audit;
        this.http = new HttpServer(1, HttpLimits.DEFAULT, this::take);
    }

    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        InetSocketAddress bound = http.listen(address);
        LOG.atInfo().addKeyValue("address", bound).log("control API");
        return bound;
    }

    @Override
    public void close() {
        http.close();
        worker.shutdownNow();
    }

    private void take(HttpMessage.Request call, HttpServer.Exchange exchange) {
        try {
            worker.execute(() -> exchange.respond(answer(call)));
        } catch (RejectedExecutionException e) {
            exchange.respond(error(503, "too many calls at once"));
        }
    }

    private HttpMessage.Response answer(HttpMessage.Request call) {
        try {
            Caller caller = Caller.of(call, ownIds + ownId++);
            return switch (call.path()) {
                case "/v1/settings" -> settings(call, caller);
                case "/v1/state" ->
                        call.method().equals("GET")
                                ? json(200, conductor.state())
                                : error(405, "only GET " + call.path());
                case "/v1/health" ->
                        call.method().equals("GET")
                                ? health(conductor.state())
                                : error(405, "only GET " + call.path());
                case "/v1/status" ->
                        call.method().equals("GET")
                                ? json(200, status(conductor.state()))
                                : error(405, "only GET " + call.path());
                case "/v1/acts" ->
                        call.method().equals("GET")
                                ? json(200, audit == null ? List.of() : audit.recent())
                                : error(405, "only GET " + call.path());
                case "/v1/drains" ->
                        call.method().equals("GET")
                                ? json(200, DrainJson.write(conductor.drains()))
                                : error(405, "only GET " + call.path());
                default ->
                        call.path().startsWith("/v1/tables")
                                ? tables(call, caller)
                                : call.path().startsWith("/v1/nodes")
                                        ? nodes(call, caller)
                                        : error(
                                                404,
                                                "no "
                                                        + call.path()
                                                        + "; there are /v1/settings, /v1/status, /v1/state, /v1/health, "
                                                        + "/v1/nodes, /v1/drains, /v1/tables, /v1/acts");
            };
        } catch (IllegalArgumentException e) {
            return error(400, e.getMessage());
        } catch (IOException | RuntimeException e) {
            LOG.error("control call {} {} failed", call.method(), call.path(), e);
            return error(500, "see the conductor's log");
        }
    }

    /** Does an act between two lines of the audit log; tells whether it is audited. */
    private HttpMessage.Response audited(HttpMessage.Request call, Caller caller, Act act)
            throws IOException {
        if (audit != null) {
            audit.write(line(call, caller, "asked"));
        }
        HttpMessage.Response answer = act.run();
        if (audit != null) {
            audit.write(
                    line(
                            call,
                            caller,
                            answer.status()
                                    + (answer.status() == 200
                                            ? " done"
                                            : " "
                                                    + json.readTree(answer.body())
                                                            .path("detail")
                                                            .asText())));
        }
        return answer;
    }

    private interface Act {
        HttpMessage.Response run() throws IOException;
    }

    private static AuditLog.Act line(HttpMessage.Request call, Caller caller, String outcome) {
        return new AuditLog.Act(
                caller.who(),
                call.headers().first("host").orElse(""),
                call.method() + " " + call.target(),
                caller.id(),
                outcome);
    }

    /**
     * {@code GET /v1/nodes}; {@code POST /v1/nodes/NAME/drain} and {@code .../undrain}, with {@code
     * ?force=true} past the guard.
     */
    private HttpMessage.Response nodes(HttpMessage.Request call, Caller caller) throws IOException {
        if (call.path().equals("/v1/nodes")) {
            return call.method().equals("GET")
                    ? json(200, conductor.state().nodes())
                    : error(405, "only GET " + call.path());
        }
        Matcher act = NODE_ACT.matcher(call.target());
        if (!act.matches()) {
            return error(
                    404,
                    "not /v1/nodes, /v1/nodes/NAME/drain or /v1/nodes/NAME/undrain: "
                            + call.target());
        }
        if (!call.method().equals("POST")) {
            return error(405, "only POST " + call.path());
        }
        String name = URLDecoder.decode(act.group(1).replace("+", "%2B"), StandardCharsets.UTF_8);
        return audited(
                call,
                caller,
                () -> {
                    DrainResult outcome =
                            conductor.drain(
                                    new DrainRequest(
                                            name,
                                            act.group(2).equals("drain"),
                                            caller.who(),
                                            caller.id(),
                                            caller.revision(),
                                            "true".equals(act.group(3))));
                    String told = String.join("; ", outcome.told());
                    return switch (outcome.kind()) {
                        case DONE, REPEATED ->
                                json(
                                        200,
                                        json.createObjectNode()
                                                .put("done", true)
                                                .put(
                                                        "repeated",
                                                        outcome.kind() == DrainResult.Kind.REPEATED)
                                                .put("revision", outcome.revision()));
                        case NO_NODE -> ProblemDetails.of(404, "No such node", told);
                        case AMBIGUOUS ->
                                ProblemDetails.of(
                                        409, "Several nodes have this name", "name one of " + told);
                        case STALE ->
                                ProblemDetails.of(
                                        412,
                                        "Changed since",
                                        "since revision " + caller.revision() + ": " + told,
                                        outcome.told(),
                                        outcome.revision());
                        case GUARDED ->
                                ProblemDetails.of(
                                        409,
                                        "Too much would be drained",
                                        told,
                                        outcome.told(),
                                        outcome.revision());
                    };
                });
    }

    /** One screen's worth: counts, versions and troubles, without lines, nodes and proxies. */
    private ObjectNode status(ControllerStatus state) {
        ObjectNode all =
                json.createObjectNode()
                        .put("name", conductor.name())
                        .put("phase", state.phase())
                        .put("proxies", state.proxies())
                        .put("proxiesBound", state.proxiesBound())
                        .put("linesWaiting", state.linesWaiting())
                        .put("lastMode", state.lastMode())
                        .put("listTrouble", state.listTrouble())
                        .put("settingsTrouble", conductor.settingsTrouble())
                        .put("storageTrouble", state.storage().trouble())
                        .put("auditTrouble", audit == null ? "" : audit.fault());
        conductor
                .settings()
                .ifPresent(
                        is ->
                                all.put("settingsRevision", is.revision())
                                        .put("settingsBy", is.operator()));
        ObjectNode nodes = all.putObject("nodes");
        state.nodes()
                .forEach(node -> nodes.put(node.state(), nodes.path(node.state()).asInt() + 1));
        ObjectNode drained = all.putObject("drained");
        state.nodes().stream()
                .filter(node -> !node.drainedBy().isEmpty())
                .forEach(node -> drained.put(node.name(), node.drainedBy()));
        ArrayNode tables = all.putArray("tables");
        state.tables()
                .forEach(
                        table ->
                                tables.addObject()
                                        .put("table", table.table())
                                        .put("version", table.version())
                                        .put("held", table.held())
                                        .put("refusals", String.join("; ", table.refusals())));
        return all;
    }

    /** Serving without storage is serving; the trouble is told beside. */
    private HttpMessage.Response health(ControllerStatus state) throws IOException {
        return json(
                state.phase().equals("serving") ? 200 : 503,
                json.createObjectNode()
                        .put("phase", state.phase())
                        .put("trouble", conductor.settingsTrouble())
                        .put("storage", state.storage().trouble())
                        .put("audit", audit == null ? "" : audit.fault()));
    }

    private HttpMessage.Response settings(HttpMessage.Request call, Caller caller)
            throws IOException {
        Optional<SettingsFile.Saved> now = conductor.settings();
        if (call.method().equals("GET")) {
            return now.isEmpty()
                    ? error(
                            404,
                            "no settings yet"
                                    + (conductor.settingsTrouble().isEmpty()
                                            ? ""
                                            : "; " + conductor.settingsTrouble()))
                    : new HttpMessage.Response(
                            200,
                            HttpHeaders.of(
                                    "content-type",
                                    "application/json",
                                    "etag",
                                    "\"" + now.get().revision() + "\"",
                                    "x-applied-by",
                                    now.get().operator()),
                            now.get().json().getBytes(StandardCharsets.UTF_8));
        }
        if (!call.method().equals("PUT")) {
            return error(405, "only GET and PUT " + call.path());
        }
        if (call.target().equals("/v1/settings?dry-run=true")) {
            return tried(call);
        }
        if (!call.target().equals(call.path())) {
            // Nothing is applied by a mistaken word where a trial may have been meant.
            return error(
                    400,
                    "query "
                            + call.target().substring(call.path().length())
                            + " is not ?dry-run=true; nothing was applied");
        }
        return audited(
                call,
                caller,
                () -> {
                    try {
                        Controller.Applied applied =
                                conductor.apply(
                                        call.text(), caller.who(), caller.id(), caller.revision());
                        long revision = applied.inForce().map(SettingsFile.Saved::revision).orElse(0L);
                        if (applied.done()) {
                            return json(
                                    200,
                                    json.createObjectNode()
                                            .put("applied", true)
                                            .put("revision", revision));
                        }
                        String since =
                                applied.inForce()
                                        .map(
                                                is ->
                                                        "revision "
                                                                + is.revision()
                                                                + " was applied by "
                                                                + is.operator()
                                                                + " at "
                                                                + Instant.ofEpochMilli(
                                                                        is.savedAtMillis()))
                                        .orElse("there are no settings");
                        return ProblemDetails.of(
                                412, "Changed since", since, List.of(since), revision);
                    } catch (SettingsException e) {
                        return faults(e);
                    } catch (IOException e) {
                        return error(
                                503,
                                "settings not applied, the snapshot cannot be written: "
                                        + e.getMessage());
                    }
                });
    }

    /** Whether settings would hold; nothing changes. */
    private HttpMessage.Response tried(HttpMessage.Request call) throws IOException {
        try {
            SettingsReader.read(call.text());
            return json(200, json.createObjectNode().put("applied", false).put("good", true));
        } catch (SettingsException e) {
            return faults(e);
        }
    }

    private static HttpMessage.Response faults(SettingsException e) {
        ObjectNode told = ProblemDetails.members(422, "Settings not applied", e.getMessage());
        ArrayNode faults = told.putArray("faults");
        e.invalidFields()
                .forEach(
                        fault ->
                                faults.addObject()
                                        .put("field", fault.field())
                                        .put("value", fault.found())
                                        .put("allowed", fault.allowed()));
        return ProblemDetails.answer(told);
    }

    /**
     * {@code GET /v1/tables}, {@code /v1/tables/N} as it will be, {@code
     * /v1/tables/N/diff?from=V&to=V}; {@code POST /v1/tables/N/rollback?version=V}, {@code
     * .../pin}, {@code .../release}.
     */
    private HttpMessage.Response tables(HttpMessage.Request call, Caller caller)
            throws IOException {
        if (call.path().equals("/v1/tables")) {
            return call.method().equals("GET")
                    ? json(200, conductor.state().tables())
                    : error(405, "only GET " + call.path());
        }
        Matcher one = ONE.matcher(call.target());
        if (one.matches() && call.method().equals("GET")) {
            Optional<ControllerStatus.Table> table =
                    conductor.table(Integer.parseInt(one.group(1)));
            return table.isPresent()
                    ? json(200, table.get())
                    : error(404, "no table " + one.group(1));
        }
        Matcher diff = DIFF.matcher(call.target());
        if (diff.matches() && call.method().equals("GET")) {
            return difference(diff);
        }
        Matcher act = ACT.matcher(call.target());
        if (!act.matches()) {
            return error(
                    404,
                    "not /v1/tables/N, /v1/tables/N/diff?from=V&to=V, "
                            + "/v1/tables/N/rollback?version=V, /v1/tables/N/pin or /v1/tables/N/release: "
                            + call.target());
        }
        if (!call.method().equals("POST")) {
            return error(405, "only POST " + call.path());
        }
        Controller.TableAct what =
                Controller.TableAct.valueOf(act.group(2).toUpperCase(Locale.ROOT));
        if ((what == Controller.TableAct.ROLLBACK) != (act.group(3) != null)) {
            return error(
                    400, "version is " + act.group(3) + "; a rollback, and only that, names one");
        }
        long version = act.group(3) == null ? 0 : Long.parseLong(act.group(3));
        return audited(
                call,
                caller,
                () -> {
                    Controller.Outcome outcome =
                            conductor.act(what, Integer.parseInt(act.group(1)), version);
                    return outcome.why().isEmpty()
                            ? json(
                                    200,
                                    json.createObjectNode()
                                            .put("done", true)
                                            .put("kept", outcome.kept()))
                            : error(409, outcome.why());
                });
    }

    private HttpMessage.Response difference(Matcher diff) throws IOException {
        int table = Integer.parseInt(diff.group(1));
        long from = Long.parseLong(diff.group(2));
        long to = Long.parseLong(diff.group(3));
        Optional<ControllerStatus.Difference> found = conductor.difference(table, from, to);
        if (found.isPresent()) {
            return json(200, found.get());
        }
        Optional<ControllerStatus.Table> there = conductor.table(table);
        return error(
                404,
                there.isEmpty()
                        ? "no table " + table
                        : "table "
                                + table
                                + " does not keep version "
                                + (there.get().versions().stream().anyMatch(v -> v.number() == from)
                                        ? to
                                        : from));
    }

    private static HttpMessage.Response error(int status, String detail) {
        return ProblemDetails.of(
                status,
                switch (status) {
                    case 400 -> "Bad call";
                    case 404 -> "Not found";
                    case 405 -> "Wrong verb";
                    case 409 -> "Not possible now";
                    case 503 -> "Not available";
                    default -> "Internal error";
                },
                detail);
    }

    private HttpMessage.Response json(int status, Object body) throws JsonProcessingException {
        return HttpMessage.Response.json(status, json.writeValueAsString(body) + "\n");
    }
}
