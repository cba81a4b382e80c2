package rosespread.admin;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rosespread.controller.Controller;
import rosespread.controller.ControllerStatus;
import rosespread.http.HttpMessage;

/**
 * {@code /v1/tables}: GET lists the tables; GET of {@code /v1/tables/N} and {@code
 * /v1/tables/N/diff?from=V&to=V} reads one and compares its versions; POST to {@code
 * /v1/tables/N/rollback?version=V}, {@code .../pin} and {@code .../release} rolls the table back,
 * pins it or releases it.
 */
final class TablesResource implements Resource {
    private static final String PATH = "/v1/tables";
    private static final String TABLE_PATH = PATH + "/(?<table>[0-9]{1,5})";
    private static final String VERSION = "[0-9]{1,18}";
    private static final Pattern TABLE = Pattern.compile(TABLE_PATH);
    private static final Pattern DIFFERENCE =
            Pattern.compile(
                    TABLE_PATH + "/diff\\?from=(?<from>" + VERSION + ")&to=(?<to>" + VERSION + ")");
    private static final Pattern ACTION =
            Pattern.compile(
                    TABLE_PATH
                            + "/(?<action>rollback|pin|release)(?:\\?version=(?<version>"
                            + VERSION
                            + "))?");

    private final Controller controller;
    private final AuditTrail audit;
    private final RepeatedChanges repeated = new RepeatedChanges();

    TablesResource(Controller controller, AuditTrail audit) {
        this.controller = controller;
        this.audit = audit;
    }

    @Override
    public HttpMessage.Response handle(AdminRequest request) throws IOException {
        if (request.path().equals(PATH)) {
            return request.hasMethod("GET")
                    ? JsonResponses.ok(controller.status().tables())
                    : ProblemDetails.methodNotAllowed("GET", request);
        }
        Matcher table = TABLE.matcher(request.target());
        if (table.matches() && request.hasMethod("GET")) {
            return table(table.group("table"));
        }
        Matcher difference = DIFFERENCE.matcher(request.target());
        if (difference.matches() && request.hasMethod("GET")) {
            return difference(
                    tableNumber(difference),
                    Long.parseLong(difference.group("from")),
                    Long.parseLong(difference.group("to")));
        }
        Matcher action = ACTION.matcher(request.target());
        if (!action.matches()) {
            return notFound(request);
        }
        return request.hasMethod("POST")
                ? act(request, action)
                : ProblemDetails.methodNotAllowed("POST", request);
    }

    private static int tableNumber(Matcher matcher) {
        return Integer.parseInt(matcher.group("table"));
    }

    private static HttpMessage.Response notFound(AdminRequest request) {
        return ProblemDetails.of(
                404,
                "expected /v1/tables/N, /v1/tables/N/diff?from=V&to=V, "
                        + "/v1/tables/N/rollback?version=V, /v1/tables/N/pin "
                        + "or /v1/tables/N/release, found "
                        + request.target());
    }

    private HttpMessage.Response table(String number) throws IOException {
        Optional<ControllerStatus.Table> table = controller.table(Integer.parseInt(number));
        return table.isPresent()
                ? JsonResponses.ok(table.get())
                : ProblemDetails.of(404, "no table " + number);
    }

    private HttpMessage.Response difference(int number, long from, long to) throws IOException {
        Optional<ControllerStatus.Difference> difference = controller.difference(number, from, to);
        if (difference.isPresent()) {
            return JsonResponses.ok(difference.get());
        }
        Optional<ControllerStatus.Table> table = controller.table(number);
        if (table.isEmpty()) {
            return ProblemDetails.of(404, "no table " + number);
        }
        boolean hasFrom =
                table.get().versions().stream().anyMatch(version -> version.number() == from);
        return ProblemDetails.of(
                404, "table " + number + " does not keep version " + (hasFrom ? to : from));
    }

    private HttpMessage.Response act(AdminRequest request, Matcher action) throws IOException {
        String name = action.group("action").toUpperCase(Locale.ROOT);
        Controller.TableAct act = Controller.TableAct.valueOf(name);
        String version = action.group("version");
        boolean needsVersion = act == Controller.TableAct.ROLLBACK;
        if (needsVersion != (version != null)) {
            return ProblemDetails.of(
                    400,
                    "version is "
                            + version
                            + "; rollback requires a version, pin and release accept none");
        }
        long target = version == null ? 0 : Long.parseLong(version);
        return audit.record(
                request,
                () ->
                        repeated.once(
                                request,
                                () -> respond(controller.act(act, tableNumber(action), target))));
    }

    private static HttpMessage.Response respond(Controller.Outcome outcome) throws IOException {
        return outcome.reason().isEmpty()
                ? JsonResponses.ok(
                        JsonResponses.object().put("done", true).put("kept", outcome.durable()))
                : ProblemDetails.of(409, outcome.reason());
    }
}
