package rosespread.admin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rosespread.controller.Controller;
import rosespread.controller.DrainRequest;
import rosespread.controller.DrainResult;
import rosespread.http.HttpMessage;

/**
 * {@code /v1/nodes}: GET lists the nodes; POST to {@code /v1/nodes/NAME/drain} and {@code
 * .../undrain} begins and ends a drain; {@code ?force=true} bypasses the drain guard.
 */
final class NodesResource implements Resource {
    private static final String PATH = "/v1/nodes";
    private static final Pattern ACTION =
            Pattern.compile(
                    PATH
                            + "/(?<node>[^/?]{1,400})/(?<action>drain|undrain)"
                            + "(?:\\?force=(?<force>true|false))?");

    private final Controller controller;
    private final AuditTrail audit;

    NodesResource(Controller controller, AuditTrail audit) {
        this.controller = controller;
        this.audit = audit;
    }

    @Override
    public HttpMessage.Response handle(AdminRequest request) throws IOException {
        if (request.path().equals(PATH)) {
            return request.hasMethod("GET")
                    ? JsonResponses.ok(controller.status().nodes())
                    : ProblemDetails.methodNotAllowed("GET", request);
        }
        Matcher action = ACTION.matcher(request.target());
        if (!action.matches()) {
            return ProblemDetails.of(
                    404,
                    "expected /v1/nodes, /v1/nodes/NAME/drain or /v1/nodes/NAME/undrain, found "
                            + request.target());
        }
        if (!request.hasMethod("POST")) {
            return ProblemDetails.methodNotAllowed("POST", request);
        }
        DrainRequest drain = drainRequest(action, request.context());
        return audit.record(request, () -> respond(drain, controller.drain(drain)));
    }

    private static DrainRequest drainRequest(Matcher action, RequestContext context) {
        // A plus sign in a path is literal, but URLDecoder would decode it to a space.
        String encoded = action.group("node").replace("+", "%2B");
        return new DrainRequest(
                URLDecoder.decode(encoded, StandardCharsets.UTF_8),
                action.group("action").equals("drain"),
                context.operator(),
                context.idempotencyKey(),
                context.expectedRevision(),
                "true".equals(action.group("force")));
    }

    private static HttpMessage.Response respond(DrainRequest request, DrainResult result)
            throws IOException {
        String reasons = String.join("; ", result.details());
        return switch (result.kind()) {
            case DONE, REPEATED ->
                    JsonResponses.ok(
                            JsonResponses.object()
                                    .put("done", true)
                                    .put("repeated", result.kind() == DrainResult.Kind.REPEATED)
                                    .put("revision", result.revision()));
            case NO_NODE -> ProblemDetails.of(404, "No such node", reasons);
            case AMBIGUOUS ->
                    ProblemDetails.of(
                            409,
                            "Several nodes have this name",
                            "expected one of the qualified names " + reasons);
            case STALE ->
                    ProblemDetails.of(
                            412,
                            "Changed since",
                            "since revision " + request.revision() + ": " + reasons,
                            result.details(),
                            result.revision());
            case GUARDED ->
                    ProblemDetails.of(
                            409,
                            "Too much would be drained",
                            reasons,
                            result.details(),
                            result.revision());
        };
    }
}
