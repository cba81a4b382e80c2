import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The servers of a site are lost and come back cold; one class may only be served in the relay's own
 * site. The list shows one of the servers first and the others some seconds later. Without trouble
 * the list shows all of them together.
 *
 * <p>Arguments: the record. Exit code: 0 the rule on cold servers held, 1 it was broken, 2 the case
 * could not run.
 */
final class ColdAlone {
    private static final double LENGTH_S = 14;
    private static final double NOTICE_S = 0.7;
    private static final double FIRST_ADD_S = 0.21;
    private static final double ADD_S = 2.5;

    private ColdAlone() {}

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
        World.Settings settings = new World.Settings();
        settings.classes =
                List.of(
                        new World.Klass("quote", 0.54, 0.2, false),
                        new World.Klass("record", 0.46, 0.14, true));
        settings.proxies = 9;
        settings.requestsPerS = 165;
        settings.queueCap = 1200;
        settings.graceS = 1.8;
        settings.noise = 0.12;
        World world = new World(settings, record, Long.getLong("seed", 7));
        for (int i = 0; i < 15; i++) {
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
        String site = settings.zones.get(2);
        List<World.Server> lost =
                world.servers.values().stream().filter(s -> s.zone.equals(site)).toList();
        List<String> all = lost.stream().map(s -> s.id).toList();
        List<String> first =
                lost.stream().filter(s -> s.kind.equals("small-2")).map(s -> s.id).limit(1).toList();
        List<String> rest = new ArrayList<>(all);
        rest.removeAll(first);
        double t0 = world.seconds(System.nanoTime()) + 20;
        double back = t0 + LENGTH_S;
        world.at(
                t0,
                () -> {
                    world.note("the servers of site " + site + " are lost: " + all);
                    lost.forEach(s -> s.up = false);
                });
        world.at(t0 + NOTICE_S, () -> world.setState(all, "DELETED"));
        world.at(
                back,
                () -> {
                    lost.forEach(world::startsAgain);
                    world.note("site " + site + " is back");
                });
        world.at(back + (trouble ? FIRST_ADD_S : ADD_S), () -> world.setState(first, "SERVING"));
        world.at(back + ADD_S, () -> world.setState(rest, "SERVING"));
        World.Proxy relay =
                world.proxies.stream().filter(p -> p.zone.equals(site)).findFirst().orElseThrow();
        for (double t = back - 1; t < back + 12; t += 1) {
            world.at(t, () -> world.quiet("proxy " + relay.number + ": " + relay.tables));
        }
        world.run(back + 20);
        return world.finish("cold");
    }
}
