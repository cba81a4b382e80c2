import java.nio.file.Path;
import java.util.*;

/**
 * The conductor is restarted as planned while a rolling deploy goes through the servers of one kind;
 * a later rolling deploy goes through the fleet again.
 */
final class RestartInRelease {
    private static final double FIRST_STEP_S = 4;
    private static final double SECOND_STEP_S = 7;
    private static final double DRAIN_S = 3.6;
    private static final double ADD_S = 0.3;

    private final World world;
    private final World.Controller controller;
    private final Map<String, Integer> versions = new TreeMap<>();

    private RestartInRelease(World world, World.Controller controller) {
        this.world = world;
        this.controller = controller;
    }

    static int play(Path record, boolean trouble) throws Exception {
        World.Settings settings = new World.Settings();
        settings.classes =
                List.of(
                        new World.Klass("quote", 0.62, 0.2, false),
                        new World.Klass("record", 0.38, 0.12, true));
        settings.proxies = 9;
        settings.requestsPerS = 110;
        settings.queueCap = 1200;
        settings.graceS = 2.1;
        World world = new World(settings, record, Main.SEED);
        for (int i = 0; i < 9; i++) {
            world.addServer("small-" + i + "-v1", settings.zones.get(i % 3), "small-2", 1.2);
            world.addServer("std-" + i + "-v1", settings.zones.get(i % 3), "std-4", 4);
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
        RestartInRelease play = new RestartInRelease(world, c);
        double t0 = world.seconds(System.nanoTime()) + 10;
        // 16 of 18 servers in batches of 3 (a sixth of the fleet) within 24 s; small-2 first.
        List<String> first = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            first.add("small-" + i);
        }
        for (int i = 0; i < 7; i++) {
            first.add("std-" + i);
        }
        play.deploy(t0, FIRST_STEP_S, first);
        if (trouble) {
            world.at(t0 + 2 * FIRST_STEP_S + 0.5, play::restart);
        }
        // The next deploy takes the oldest 8 of 18 (44 %) within 20 s.
        double t1 = t0 + 6 * FIRST_STEP_S + 8;
        play.deploy(
                t1,
                SECOND_STEP_S,
                List.of(
                        "std-7", "std-8", "small-0", "small-1", "small-2", "small-3", "small-4",
                        "small-5"));
        for (double t = t0 - 1; t < t1 + 26; t += 5) {
            world.at(
                    t,
                    () ->
                            world.quiet(
                                    "proxy 0 (centro): " + world.proxies.get(0).tables));
        }
        world.run(t1 + 27);
        return world.finish("bare");
    }

    /** Replaces servers in batches of three; an id carries the version that the server runs. */
    private void deploy(double at, double stepS, List<String> names) {
        for (int i = 0; i < names.size(); i += 3) {
            List<String> batch = names.subList(i, Math.min(names.size(), i + 3));
            double begin = at + i / 3 * stepS;
            world.at(
                    begin,
                    () -> {
                        List<String> old = batch.stream().map(this::id).toList();
                        world.setState(old, "DRAINING");
                        world.after(DRAIN_S, () -> replace(batch, old));
                    });
        }
    }

    private String id(String name) {
        return name + "-v" + versions.getOrDefault(name, 1);
    }

    private void replace(List<String> batch, List<String> old) {
        old.forEach(id -> world.servers.get(id).up = false);
        world.setState(old, "DELETED");
        world.after(ADD_S, () -> batch.forEach(this::start));
    }

    private void start(String name) {
        World.Server old = world.servers.get(id(name));
        versions.merge(name, 2, (same, two) -> same + 1);
        world.startServer(id(name), old.zone, old.kind, old.cores);
    }

    /** SIGTERM, then a new start under the same name and address. */
    private void restart() {
        controller.terminate();
        new Thread(
                        () -> {
                            try {
                                controller.start();
                                controller.awaitReady();
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        })
                .start();
    }
}
