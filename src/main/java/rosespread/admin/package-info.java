/**
 * The operators' HTTP API of a controller, described in docs/api/openapi.yaml: {@link
 * rosespread.admin.AdminServer} with a {@linkplain rosespread.admin.Router routing table} and one
 * {@link rosespread.admin.Resource} for each path; errors are {@linkplain
 * rosespread.admin.ProblemDetails problem details}. {@link rosespread.admin.Daemon} runs a
 * controller with this API as a process. Uses the controller, its settings, the audit log and HTTP.
 *
 * <p>Requests are answered one after another by one worker thread, since changes wait for the disk
 * and for the event loop. The state of the resources belongs to that thread.
 */
package rosespread.admin;
