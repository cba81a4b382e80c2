import java.nio.file.Path;
import java.util.*;

/** A rolling deploy, and nothing else; one class may only be served in the relay's own site. */
final class RollingDeploy {
    private static final double LENGTH_S = 30;
    private static final int BATCH = 2;
    private static final double DRAIN_S = 3.6;
    private static final double ADD_S = 0.3;
    private static final int SERVERS = 30;
    private static final int REPLACED = 29;

    private RollingDeploy() {}

    static int play(Path record, boolean trouble) throws Exception {
        World.Settings settings = new World.Settings();
        settings.classes =
                List.of(
                        new World.Klass("quote", 0.62, 0.2, false),
                        new World.Klass("record", 0.38, 0.12, true));
        settings.proxies = 100;
        settings.rate = 1200;
        settings.queueCap = 34 * settings.proxies;
        settings.graceS = settings.queueCap / settings.rate + 1.1;
        settings.bareS = settings.graceS + 1.6;
        settings.requestsPerS = 220;
        settings.noise = 0.12;
        settings.swing = 0.15;
        World world = new World(settings, record, Main.SEED);
        for (int i = 0; i < SERVERS; i++) {
            boolean big = i % 16 < 9;
            world.addServer(
                    String.format("s-%04d", i), settings.zones.get(i % 3),
                    big ? "std-4" : "small-2", big ? 4.0 : 1.2);
        }
        world.publishAll();
        world.addProxies();
        world.proxies.forEach(World.Proxy::standing);
        World.Controller c = world.new Controller(0, world.folder);
        world.controllers.add(c);
        c.start();
        c.awaitReady();
        if (!c.used) {
            return 2;
        }
        double t0 = world.seconds(System.nanoTime()) + 15;
        // Site by site.
        List<World.Server> servers =
                world.servers.values().stream()
                        .sorted(Comparator.comparing(s -> settings.zones.indexOf(s.zone)))
                        .limit(REPLACED)
                        .toList();
        int batches = (REPLACED + BATCH - 1) / BATCH;
        for (int b = 0; trouble && b < batches; b++) {
            List<World.Server> batch =
                    servers.subList(b * BATCH, Math.min(REPLACED, (b + 1) * BATCH));
            List<String> ids = batch.stream().map(s -> s.id).toList();
            world.at(
                    t0 + b * LENGTH_S / batches,
                    () -> {
                        world.setState(ids, "DRAINING");
                        world.after(
                                DRAIN_S,
                                () -> {
                                    batch.forEach(s -> s.up = false);
                                    world.setState(ids, "DELETED");
                                });
                        world.after(
                                DRAIN_S + ADD_S,
                                () ->
                                        batch.forEach(
                                                s ->
                                                        world.startServer(
                                                                s.id + "b", s.zone, s.kind,
                                                                s.cores)));
                    });
        }
        for (double t = t0 - 1; t < t0 + 60; t += 5) {
            world.at(
                    t,
                    () ->
                            world.quiet(
                                    "proxy 0 holds for record: "
                                            + world.proxies.get(0).tables.get("record")));
        }
        world.run(t0 + LENGTH_S + 25);
        return world.finish("bare");
    }
}
