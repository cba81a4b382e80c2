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

/** A conductor and its control API as a process that runs until it is told to stop. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

    private Daemon() {}

    /** Runs until the process is told to end; proxies are told before it does. */
    public static void run(
            String name,
            Path state,
            InetSocketAddress listen,
            InetSocketAddress control,
            Controller.PolicyFactory planning,
            TableChangeValidator gate)
            throws IOException, InterruptedException {
        CountDownLatch forever = new CountDownLatch(1);
        Controller conductor = new Controller(name, state, planning, gate);
        AuditLog audit = audit(state.resolve("audit.log"));
        AdminServer api = new AdminServer(conductor, audit);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    api.close();
                                    conductor.close();
                                },
                                "stop"));
        conductor.start(listen);
        api.listen(control);
        forever.await();
    }

    /**
     * A log whose chain does not hold is set aside for a look, and the conductor begins another.
     */
    private static AuditLog audit(Path path) throws IOException {
        try {
            return new AuditLog(path, System::currentTimeMillis);
        } catch (IOException e) {
            Path aside = path.resolveSibling("audit.log.damaged-" + System.currentTimeMillis());
            Files.move(path, aside);
            LOG.error("{}; set aside as {}", e.getMessage(), aside);
            return new AuditLog(path, System::currentTimeMillis);
        }
    }
}
