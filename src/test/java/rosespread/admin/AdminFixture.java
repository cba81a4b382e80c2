package rosespread.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.validation.TableChangeValidator;

/** A controller without proxies and its admin API on loopback. */
final class AdminFixture implements AutoCloseable {
    static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Controller controller;
    private final AdminServer server;
    private final InetSocketAddress address;

    /**
     * Starts the controller and its API, each on a free port.
     *
     * @param auditLog records changes; null for no log. The caller closes it.
     */
    AdminFixture(String name, Path folder, AuditLog auditLog) throws IOException {
        controller =
                new Controller(name, folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        controller.start(ANY_PORT);
        server = new AdminServer(controller, auditLog);
        address = server.listen(ANY_PORT);
    }

    Controller controller() {
        return controller;
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        server.close();
        controller.close();
    }
}
