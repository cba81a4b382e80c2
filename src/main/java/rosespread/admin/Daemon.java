package rosespread.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.validation.TableChangeValidator;

/** A controller with its admin API, as a process. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final String AUDIT_LOG = "audit.log";

    private Daemon() {}

    /**
     * Runs a controller until the process is told to terminate; a shutdown hook then closes the API
     * and the controller, which notifies its proxies. Never returns normally.
     *
     * @param name the controller's name
     * @param stateFolder the folder that stores settings, tables and the audit log
     * @param channelAddress the address that proxies connect to
     * @param adminAddress the address that operators connect to
     * @param policyFactory creates the policy
     * @param validator checks table changes before they are rolled out
     * @throws IOException if an address cannot be bound or the audit log cannot be opened
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static void run(
            String name,
            Path stateFolder,
            InetSocketAddress channelAddress,
            InetSocketAddress adminAddress,
            Controller.PolicyFactory policyFactory,
            TableChangeValidator validator)
            throws IOException, InterruptedException {
        Controller controller = new Controller(name, stateFolder, policyFactory, validator);
        AuditLog auditLog = openAuditLog(stateFolder.resolve(AUDIT_LOG));
        AdminServer admin = new AdminServer(controller, auditLog);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> shutDown(admin, controller), "shutdown"));
        controller.start(channelAddress);
        admin.listen(adminAddress);
        CountDownLatch neverReleased = new CountDownLatch(1);
        neverReleased.await();
    }

    private static void shutDown(AdminServer admin, Controller controller) {
        admin.close();
        controller.close();
    }

    /**
     * Opens the audit log. A log whose hash chain is broken is renamed, to keep it as evidence, and
     * a new log is started.
     */
    private static AuditLog openAuditLog(Path path) throws IOException {
        try {
            return new AuditLog(path, System::currentTimeMillis);
        } catch (IOException e) {
            Path damagedLog =
                    path.resolveSibling(AUDIT_LOG + ".damaged-" + System.currentTimeMillis());
            Files.move(path, damagedLog);
            LOG.atError()
                    .addKeyValue("reason", e.getMessage())
                    .addKeyValue("file", damagedLog)
                    .log("audit log is damaged and was set aside");
            return new AuditLog(path, System::currentTimeMillis);
        }
    }
}
