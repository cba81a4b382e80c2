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
     * Runs a controller until the process is asked to end; a shutdown hook then closes the API and
     * the controller, which tells its proxies. Never returns normally.
     *
     * @param name the controller's name
     * @param stateFolder where settings, tables and the audit log are stored
     * @param channelAddress where proxies connect
     * @param adminAddress where operators connect
     * @param planning makes the policy
     * @param validator checks table changes before they are rolled out
     * @throws IOException if an address cannot be bound or the audit log cannot be opened
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static void run(
            String name,
            Path stateFolder,
            InetSocketAddress channelAddress,
            InetSocketAddress adminAddress,
            Controller.Planning planning,
            TableChangeValidator validator)
            throws IOException, InterruptedException {
        Controller controller = new Controller(name, stateFolder, planning, validator);
        AuditLog auditLog = openAuditLog(stateFolder.resolve(AUDIT_LOG));
        AdminServer admin = new AdminServer(controller, auditLog);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> shutDown(admin, controller), "shutdown"));
        controller.start(channelAddress);
        admin.listen(adminAddress);
        CountDownLatch never = new CountDownLatch(1);
        never.await();
    }

    private static void shutDown(AdminServer admin, Controller controller) {
        admin.close();
        controller.close();
    }

    /** Opens the log; one whose chain is broken is moved aside as evidence and a new one begun. */
    private static AuditLog openAuditLog(Path path) throws IOException {
        try {
            return new AuditLog(path, System::currentTimeMillis);
        } catch (IOException e) {
            Path aside = path.resolveSibling(AUDIT_LOG + ".damaged-" + System.currentTimeMillis());
            Files.move(path, aside);
            LOG.atError()
                    .addKeyValue("reason", e.getMessage())
                    .addKeyValue("file", aside)
                    .log("audit log is damaged and was set aside");
            return new AuditLog(path, System::currentTimeMillis);
        }
    }
}
