package rosespread.admin;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import rosespread.audit.AuditLog;
import rosespread.http.HttpMessage;

/** Records the changes that operators make, if there is an audit log. */
final class AuditTrail {
    private static final String REQUESTED = "asked";
    private static final String SUCCEEDED = " done";

    /** A change and its response. */
    @FunctionalInterface
    interface Change {
        HttpMessage.Response perform() throws IOException;
    }

    private final Optional<AuditLog> log;

    AuditTrail(Optional<AuditLog> log) {
        this.log = log;
    }

    /**
     * Writes the request to the audit log, performs the change and writes its outcome. A log that
     * cannot be written does not prevent the change; {@link #fault} then reports the reason.
     */
    HttpMessage.Response record(AdminRequest request, Change change) throws IOException {
        if (log.isEmpty()) {
            return change.perform();
        }
        log.get().write(entry(request, REQUESTED));
        HttpMessage.Response response = change.perform();
        log.get().write(entry(request, outcome(response)));
        return response;
    }

    private static String outcome(HttpMessage.Response response) throws IOException {
        return response.status() == 200
                ? response.status() + SUCCEEDED
                : response.status() + " " + JsonResponses.body(response).path("detail").asText();
    }

    private static AuditLog.Act entry(AdminRequest request, String outcome) {
        return new AuditLog.Act(
                request.context().operator(),
                request.http().headers().first("host").orElse(""),
                request.http().method() + " " + request.target(),
                request.context().idempotencyKey(),
                outcome);
    }

    /** The most recent entries that this process wrote, oldest first; empty without a log. */
    List<AuditLog.Entry> recent() {
        return log.map(AuditLog::recent).orElse(List.of());
    }

    /** The reason why the log cannot be written now; empty if it is writable, or without a log. */
    String fault() {
        return log.map(AuditLog::fault).orElse("");
    }
}
