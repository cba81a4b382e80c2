import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Six in ten servers are replaced within seven seconds, one after the other, while 150 relays follow
 * one conductor; one class may only be served in the relay's own site.
 *
 * <p>Arguments: the record. Exit code: 0 the rule on drains held, 1 it was broken, 2 the case could
 * not run.
 */
final class ReplacedFast {
    private static final int SERVERS = 30;
    private static final int REPLACED = 18;
    private static final double LENGTH_S = 7;
    private static final double DRAIN_S = 3.6;
    private static final double ADD_S = 0.3;
    private static final int RELAYS = 150;

    private ReplacedFast() {}

    public static void main(String[] args) {
        int code = 2;
        try {
            code = play(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Path record, boolean trouble) throws Exception {
        long seed = Long.getLong("seed", 11);
        World.Settings settings = new World.Settings();
        settings.classes =
                List.of(
                        new World.Klass("quote", 0.62, 0.2, false),
                        new World.Klass("record", 0.38, 0.12, true));
        settings.proxies = RELAYS;
        settings.rate = 1200;
        // Both grow with the relays as in the first review's rolling deploy.
        settings.queueCap = 34 * RELAYS;
        settings.graceS = settings.queueCap / settings.rate + 1.1;
        settings.bareS = settings.graceS + 1.6;
        settings.requestsPerS = 220;
        settings.noise = 0.12;
        settings.swing = 0.15;
        World world = new World(settings, record, seed);
        for (int i = 0; i < SERVERS; i++) {
            boolean big = i % 16 < 9;
            world.addServer(
                    String.format("s-%04d", i),
                    settings.zones.get(i % 3),
                    big ? "std-4" : "small-2",
                    big ? 4.0 : 1.2);
        }
        world.publishAll();
        world.addProxies();
        world.proxies.forEach(World.Proxy::standing);
        World.Controller controller = world.new Controller(0, world.folder);
        world.controllers.add(controller);
        controller.start();
        controller.awaitReady();
        if (!controller.used) {
            return 2;
        }
        double t0 = world.seconds(System.nanoTime()) + 15;
        List<World.Server> servers = new ArrayList<>(world.servers.values());
        Collections.shuffle(servers, new Random(seed));
        for (int i = 0; trouble && i < REPLACED; i++) {
            World.Server old = servers.get(i);
            world.at(t0 + LENGTH_S * i / REPLACED, () -> replace(world, old));
        }
        world.run(t0 + 45);
        return world.finish("drain");
    }

    private static void replace(World world, World.Server old) {
        world.setState(List.of(old.id), "DRAINING");
        world.after(
                DRAIN_S,
                () -> {
                    old.up = false;
                    world.setState(List.of(old.id), "DELETED");
                });
        world.after(
                DRAIN_S + ADD_S,
                () -> world.startServer(old.id + "b", old.zone, old.kind, old.cores));
    }
}
