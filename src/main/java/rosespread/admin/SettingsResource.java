package rosespread.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import rosespread.controller.Controller;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsFile;
import rosespread.settings.SettingsReader;

/**
 * {@code /v1/settings}: GET reads the settings in force; PUT applies new ones as a whole, or only
 * checks them with {@code ?dry-run=true}.
 */
final class SettingsResource implements Resource {
    private static final String DRY_RUN_QUERY = "?dry-run=true";

    private final Controller controller;
    private final AuditTrail audit;
    private final RepeatedChanges repeated = new RepeatedChanges();

    SettingsResource(Controller controller, AuditTrail audit) {
        this.controller = controller;
        this.audit = audit;
    }

    @Override
    public HttpMessage.Response handle(AdminRequest request) throws IOException {
        if (request.hasMethod("GET")) {
            return get();
        }
        if (!request.hasMethod("PUT")) {
            return ProblemDetails.methodNotAllowed("GET and PUT", request);
        }
        String query = request.target().substring(request.path().length());
        if (query.equals(DRY_RUN_QUERY)) {
            return check(request.http().text());
        }
        if (!query.isEmpty()) {
            // A mistyped dry run must not apply the settings.
            return ProblemDetails.of(
                    400,
                    "query is " + query + ", expected " + DRY_RUN_QUERY + "; nothing was applied");
        }
        return audit.record(request, () -> repeated.once(request, () -> apply(request)));
    }

    private HttpMessage.Response get() {
        Optional<SettingsFile.Saved> inForce = controller.settings();
        if (inForce.isEmpty()) {
            String fault = controller.settingsFault();
            return ProblemDetails.of(
                    404, "no settings yet" + (fault.isEmpty() ? "" : "; " + fault));
        }
        SettingsFile.Saved settings = inForce.get();
        HttpHeaders headers =
                HttpHeaders.of("content-type", "application/json")
                        .add("etag", "\"" + settings.revision() + "\"")
                        .add("x-applied-by", settings.operator());
        return new HttpMessage.Response(
                200, headers, settings.json().getBytes(StandardCharsets.UTF_8));
    }

    private static HttpMessage.Response check(String settings) throws IOException {
        try {
            SettingsReader.read(settings);
        } catch (SettingsException e) {
            return invalidSettings(e);
        }
        return JsonResponses.ok(JsonResponses.object().put("applied", false).put("good", true));
    }

    private HttpMessage.Response apply(AdminRequest request) {
        RequestContext context = request.context();
        try {
            Controller.Applied applied =
                    controller.apply(
                            request.http().text(),
                            context.operator(),
                            context.idempotencyKey(),
                            context.expectedRevision());
            return applied.done()
                    ? JsonResponses.ok(
                            JsonResponses.object()
                                    .put("applied", true)
                                    .put("revision", revision(applied)))
                    : changedSince(applied);
        } catch (SettingsException e) {
            return invalidSettings(e);
        } catch (IOException e) {
            return ProblemDetails.of(
                    503, "settings not applied, the snapshot cannot be written: " + e.getMessage());
        }
    }

    private static long revision(Controller.Applied applied) {
        return applied.inForce().map(SettingsFile.Saved::revision).orElse(0L);
    }

    private static HttpMessage.Response changedSince(Controller.Applied applied) {
        String change =
                applied.inForce()
                        .map(SettingsResource::describe)
                        .orElse("no settings are in force");
        return ProblemDetails.of(412, "Changed since", change, List.of(change), revision(applied));
    }

    private static String describe(SettingsFile.Saved settings) {
        return "revision "
                + settings.revision()
                + " was applied by "
                + settings.operator()
                + " at "
                + Instant.ofEpochMilli(settings.savedAtMillis());
    }

    private static HttpMessage.Response invalidSettings(SettingsException e) {
        ObjectNode problem = ProblemDetails.members(422, "Settings not applied", e.getMessage());
        ArrayNode faults = problem.putArray("faults");
        e.invalidFields()
                .forEach(
                        fault ->
                                faults.addObject()
                                        .put("field", fault.field())
                                        .put("value", fault.found())
                                        .put("allowed", fault.allowed()));
        return ProblemDetails.response(problem);
    }
}
