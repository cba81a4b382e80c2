import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A stand-in for the platform of PROTOCOL.md around real controller processes: discovery, proxies,
 * collectors, the channel of each controller and the nodes. All state belongs to the thread that
 * calls {@link #run}; I/O threads only hand over what they read.
 */
final class World {
    /** A server as discovery lists it. */
    static final class Server {
        final String id;
        final String zone;
        final String kind;
        final double cores;
        String state = "SERVING";
        long startedWallMs;
        double coldS;
        long startedNs;
        boolean up = true;
        double workNow;
        double util;
        long startedVersion;
        boolean listed = true;
        final Deque<double[]> coldWork = new ArrayDeque<>();
        boolean fell;

        Server(String id, String zone, String kind, double cores) {
            this.id = id;
            this.zone = zone;
            this.kind = kind;
            this.cores = cores;
        }
    }

    /** A request class. */
    record Klass(String name, double share, double workS, boolean ownZone) {}

    /** What is the same for all parties. */
    static final class Settings {
        int proxies = 60;
        double rate = 1200;
        double head = 10;
        double queueCap = 2100;
        int messagesMost = 30;
        double graceS = 2.9;
        double bareS = 3.7;
        double coldS = 17;
        double coldShare = 0.16;
        double lateS = 0.151;
        double lateMaxS = 0.3775;
        double periodS = 0.5;
        double heardLateS = 0.6;
        int intakePerS = 150;
        double redialMinS = 0.62;
        double redialMaxS = 2.2;
        List<String> zones = List.of("centro", "cordon", "carrasco");
        List<String> kinds = List.of("std-4", "small-2");
        List<Klass> classes =
                List.of(new Klass("quote", 0.62, 0.2, false), new Klass("record", 0.38, 0.12, false));
        double requestsPerS = 220;
        int standing = 6;
        String throttle = "rps";
        double noise = 0.1;
        double swing;
        int ejects = 8;
        double ejectS = 5;
        double fallMultiple = 4;
        double fallS = 1.5;
    }

    /** One controller process with its discovery agent and its channel. */
    final class Controller {
        final int number;
        final InetSocketAddress listen;
        final Agent agent;
        final Path config;
        Process process;
        long answeredNs = Long.MAX_VALUE;
        long channelFreeNs;
        boolean used;
        final Deque<Msg> channel = new ArrayDeque<>();
        final Map<String, Collector> collectors = new TreeMap<>();
        double maxWaiting;

        Controller(int number, Path folder) throws IOException {
            this.number = number;
            listen = new InetSocketAddress("127.0.0.1", freePort());
            agent = new Agent(this);
            config = folder.resolve("controller-" + number + ".json");
        }

        void start() throws Exception {
            Files.writeString(config, configJson(this));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            Map<String, String> env = builder.environment();
            env.put("ROUTER_NAME", "n" + number);
            env.put("ROUTER_LISTEN", "127.0.0.1:" + listen.getPort());
            env.put("ROUTER_DISCOVERY", "127.0.0.1:" + agent.port());
            env.put("ROUTER_CONFIG", config.toString());
            env.put("TMPDIR", config.getParent().toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(
                            config.getParent().resolve("controller-" + number + ".log").toFile()));
            process = builder.start();
            used = false;
            note("controller " + number + " started");
        }

        /** Waits, on a thread of its own, for the answer to hb. */
        void awaitReady() {
            long until = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < until) {
                try (Socket socket = new Socket()) {
                    socket.connect(listen, 200);
                    socket.setSoTimeout(300);
                    socket.getOutputStream().write(resp("hb"));
                    if (socket.getInputStream().read() == '*') {
                        answeredNs = System.nanoTime();
                        used = true;
                        note("controller " + number + " answered hb");
                        return;
                    }
                } catch (IOException e) {
                    sleep(30);
                }
            }
        }

        /** SIGTERM; SIGKILL after 0.7 s if the process has not ended. */
        void terminate() {
            note("controller " + number + " gets SIGTERM");
            process.destroy();
            try {
                process.waitFor(700, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            kill();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            used = false;
            answeredNs = Long.MAX_VALUE;
            channel.clear();
            channelFreeNs = 0;
            collectors.values().forEach(Collector::close);
            collectors.clear();
            note("controller " + number + " has ended");
        }
    }

    /** A message in a controller's channel. */
    static final class Msg {
        final Proxy proxy;
        final Conn conn;
        final List<Map<String, String>> parts;
        final double lines;
        final long enteredNs;
        long leftNs;
        long arrivesNs;

        Msg(Proxy proxy, Conn conn, List<Map<String, String>> parts, double lines, long enteredNs) {
            this.proxy = proxy;
            this.conn = conn;
            this.parts = parts;
            this.lines = lines;
            this.enteredNs = enteredNs;
        }
    }

    /** A TCP connection to a controller. */
    final class Conn {
        final Socket socket;
        final Controller controller;
        final Proxy proxy;
        volatile boolean silent;
        volatile boolean ended;

        Conn(Controller controller, Proxy proxy) throws IOException {
            this.controller = controller;
            this.proxy = proxy;
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(controller.listen, 500);
            Thread reader = new Thread(this::read, "reader");
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                List<Map<String, String>> parts = new ArrayList<>();
                while (true) {
                    List<String> strings = readResp(in);
                    if (strings == null) {
                        break;
                    }
                    Map<String, String> part = new LinkedHashMap<>();
                    part.put("kind", strings.get(0));
                    for (int i = 1; i + 1 < strings.size(); i += 2) {
                        part.put(strings.get(i), strings.get(i + 1));
                    }
                    parts.add(part);
                    if (!"1".equals(part.get("more"))) {
                        List<Map<String, String>> whole = parts;
                        parts = new ArrayList<>();
                        long now = System.nanoTime();
                        inbox.add(() -> received(this, whole, now));
                    }
                }
            } catch (IOException e) {
                // ends below
            }
            inbox.add(() -> connectionEnded(this));
        }

        void write(byte[] bytes) {
            if (silent || ended) {
                return;
            }
            try {
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
            } catch (IOException e) {
                inbox.add(() -> connectionEnded(this));
            }
        }

        void reset() {
            ended = true;
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    /** A proxy: follows its tables, sends requests, acknowledges. */
    final class Proxy {
        final int number;
        final String zone;
        final double rate;
        Conn conn;
        long joinedNs = Long.MAX_VALUE;
        long dialNs;
        int home;
        boolean cut;
        boolean down;
        final Map<String, Map<String, Double>> tables = new TreeMap<>();
        final Set<String> out = new TreeSet<>();
        final Map<String, Double> levels = new TreeMap<>();
        final Map<String, Double> tokens = new TreeMap<>();
        final Map<String, Long> bareSinceNs = new TreeMap<>();
        final Map<String, int[]> demand = new TreeMap<>();
        final Deque<Long> messages = new ArrayDeque<>();
        long demandSentNs;
        boolean holdsOrdered;
        long lastMessageNs;
        final Map<String, Integer> failuresInRow = new TreeMap<>();
        final Map<String, Long> avoidUntilNs = new TreeMap<>();

        Proxy(int number, String zone, double rate) {
            this.number = number;
            this.zone = zone;
            this.rate = rate;
        }

        boolean joined() {
            return conn != null && !conn.ended && !cut;
        }

        /** The lines of a class that the proxy may pick. */
        Map<String, Double> selectable(String klass) {
            Map<String, Double> lines = new LinkedHashMap<>();
            tables.getOrDefault(klass, Map.of())
                    .forEach(
                            (id, weight) -> {
                                if (weight > 0 && !out.contains(id)) {
                                    lines.put(id, weight);
                                }
                            });
            return lines;
        }

        void standing() {
            List<Server> own = new ArrayList<>();
            List<Server> all = new ArrayList<>();
            for (Server server : servers.values()) {
                if (server.state.equals("SERVING") && server.listed) {
                    all.add(server);
                    if (server.zone.equals(zone)) {
                        own.add(server);
                    }
                }
            }
            List<Server> from = own.size() >= 3 ? own : all;
            Collections.shuffle(from, random);
            for (Klass klass : settings.classes) {
                Map<String, Double> lines = new TreeMap<>();
                from.stream()
                        .limit(settings.standing)
                        .filter(s -> !klass.ownZone() || s.zone.equals(zone))
                        .forEach(s -> lines.put(s.id, 1.0));
                tables.put(klass.name(), lines);
            }
        }
    }

    /** A collector of one zone at one controller. */
    final class Collector {
        final Conn conn;

        Collector(Controller controller, String zone) throws IOException {
            conn = new Conn(controller, null);
            conn.write(resp("telemetry", "locality", zone));
        }

        void close() {
            conn.reset();
        }
    }

    /** Tries at a server by the proxies of a zone that are joined to a controller. */
    static final class Pair {
        int tries;
        int errors;
        double seconds;
        long sinceNs;
    }

    /** Discovery's agent of one controller. */
    final class Agent {
        private final ServerSocket server;
        private final Controller controller;
        /** The time at which each change was written to the controller, by version. */
        final ConcurrentSkipListMap<Long, Long> toldNs = new ConcurrentSkipListMap<>();

        Agent(Controller controller) throws IOException {
            this.controller = controller;
            server = new ServerSocket(freePort(), 50, InetAddress.getByName("127.0.0.1"));
            Thread thread = new Thread(this::accept, "agent");
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread thread = new Thread(() -> serve(socket), "agent-connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1));
                while (true) {
                    String line = in.readLine();
                    if (line == null) {
                        return;
                    }
                    while (!"".equals(in.readLine())) {}
                    String path = line.split(" ")[1];
                    long since = -1;
                    long waitMs = 0;
                    int query = path.indexOf('?');
                    if (query >= 0) {
                        for (String pair : path.substring(query + 1).split("&")) {
                            String[] kv = pair.split("=");
                            if (kv[0].equals("since")) {
                                since = Long.parseLong(kv[1]);
                            } else if (kv[0].equals("timeout_ms")) {
                                waitMs = Long.parseLong(kv[1]);
                            }
                        }
                    }
                    String body;
                    long version;
                    synchronized (list) {
                        long until = System.nanoTime() + waitMs * 1_000_000L;
                        while (since >= 0 && list.version <= since) {
                            long left = (until - System.nanoTime()) / 1_000_000L;
                            if (left <= 0) {
                                break;
                            }
                            list.wait(left);
                        }
                        version = list.version;
                        body = since < 0 ? list.full() : list.changes(since);
                    }
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n";
                    OutputStream out = socket.getOutputStream();
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    all.write(bytes);
                    out.write(all.toByteArray());
                    out.flush();
                    toldNs.putIfAbsent(version, System.nanoTime());
                }
            } catch (IOException e) {
                // the controller closed the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** When the controller was told of a version or a later one; the far future if not yet. */
        long toldOf(long version) {
            Map.Entry<Long, Long> entry = toldNs.ceilingEntry(version);
            return entry == null ? Long.MAX_VALUE : entry.getValue();
        }
    }

    /** Discovery's list with its history. Guarded by its monitor. */
    final class NodeList {
        long version = 41;
        private final TreeMap<String, Long> changedAt = new TreeMap<>();
        private final TreeMap<String, String> entries = new TreeMap<>();
        private final TreeMap<String, String> states = new TreeMap<>();

        synchronized long set(List<Server> changed) {
            version++;
            for (Server s : changed) {
                entries.put(
                        s.id,
                        String.format(
                                Locale.ROOT,
                                "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                        + "\"kind\":\"%s\",\"cell\":0,\"state\":\"%s\","
                                        + "\"weight\":1.0,\"started_ms\":%d}",
                                s.id, 9, s.zone, s.kind, s.state, s.startedWallMs));
                states.put(s.id, s.state);
                changedAt.put(s.id, version);
            }
            notifyAll();
            return version;
        }

        synchronized String full() {
            StringJoiner all = new StringJoiner(",");
            entries.forEach(
                    (id, entry) -> {
                        if (!states.get(id).equals("DELETED")) {
                            all.add(entry);
                        }
                    });
            return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + all + "]}";
        }

        synchronized String changes(long since) {
            StringJoiner all = new StringJoiner(",");
            changedAt.forEach(
                    (id, at) -> {
                        if (at > since) {
                            all.add(entries.get(id));
                        }
                    });
            return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + all + "]}";
        }
    }

    /** When a server began to leave, by the version of the list that said so. */
    record Leaving(long version) {}

    final Settings settings;
    final Path root = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    final Path folder;
    final Random random;
    final NodeList list = new NodeList();
    final Map<String, Server> servers = new TreeMap<>();
    final List<Proxy> proxies = new ArrayList<>();
    final List<Controller> controllers = new ArrayList<>();
    final ConcurrentLinkedQueue<Runnable> inbox = new ConcurrentLinkedQueue<>();
    final Map<String, Leaving> leaving = new TreeMap<>();
    final Map<String, Pair> pairs = new HashMap<>();
    final PriorityQueue<Timed> timed = new PriorityQueue<>(Comparator.comparingLong(t -> t.atNs));
    final long startNs = System.nanoTime();
    final PrintWriter record;
    final Map<String, Integer> sentToLeft = new TreeMap<>();
    final Map<String, Integer> bare = new TreeMap<>();
    int requests;
    int refused;
    int drainBreaks;
    int bareBreaks;
    int queueBreaks;
    int messageBreaks;
    double worstLateS;
    double worstBareS;
    double slowFactor = 1;
    /** The factor by which time limits grow; stays for the rest of a run. */
    double slowMost = 1;
    /** Requests sent to each server since the last line about it in the record. */
    private final Map<String, Integer> ran = new TreeMap<>();

    record Timed(long atNs, Runnable action) {}

    World(Settings settings, Path recordFile, long seed) throws IOException {
        this.settings = settings;
        random = new Random(seed);
        folder = Files.createTempDirectory("rosespread-review");
        record =
                new PrintWriter(
                        Files.newBufferedWriter(
                                recordFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND),
                        true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(115_000);
                            note("the case took too long");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Ends all processes and removes the temporary folder. */
    private void end() {
        endProcesses();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // stays for the next clean-up of the temporary folder
        }
    }

    void endProcesses() {
        for (Controller controller : controllers) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
                try {
                    controller.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", seconds(System.nanoTime()), text);
        record.println(line);
        System.out.println(line);
    }

    synchronized void quiet(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", seconds(System.nanoTime()), text));
    }

    double seconds(long ns) {
        return (ns - startNs) / 1e9;
    }

    void at(double seconds, Runnable action) {
        timed.add(new Timed(startNs + (long) (seconds * 1e9), action));
    }

    void after(double seconds, Runnable action) {
        timed.add(new Timed(System.nanoTime() + (long) (seconds * 1e9), action));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    private static String json(List<String> names) {
        StringJoiner all = new StringJoiner(",", "[", "]");
        names.forEach(name -> all.add("\"" + name + "\""));
        return all.toString();
    }

    String configJson(Controller c) {
        StringJoiner profiles = new StringJoiner(",", "[", "]");
        StringJoiner bound = new StringJoiner(",", "[", "]");
        StringJoiner writes = new StringJoiner(",", "[", "]");
        for (Klass k : settings.classes) {
            boolean quote = k.name().equals("quote");
            profiles.add(
                    quote
                            ? "{\"effect\":\"safe\",\"giveUp\":3.0,\"importance\":1.0,\"keyScope\":\"all\","
                                    + "\"lateWorth\":0.2,\"name\":\"quote\",\"promise\":1.2,\"window\":5.0}"
                            : "{\"effect\":\"keyed\",\"giveUp\":2.5,\"importance\":2.0,\"keyScope\":\"zone\","
                                    + "\"lateWorth\":0.1,\"name\":\""
                                    + k.name()
                                    + "\",\"promise\":0.8,\"window\":2.5}");
            bound.add(Boolean.toString(k.ownZone()));
            writes.add(Boolean.toString(!quote));
        }
        String domain =
                String.format(
                        Locale.ROOT,
                        "{\"agents\":%d,\"blackhole\":%s,\"bootstrap\":%d,\"channelRate\":%s,"
                                + "\"connsLeast\":207.0,\"costPerLine\":0.08,\"countedOver\":10.0,"
                                + "\"defaultRetry\":1,\"ejects\":%d,\"intakePerS\":%d,\"keepsWriting\":2.5,"
                                + "\"lingers\":2.52,\"overhead\":%s,\"park\":0.3,\"perTry\":1.2,"
                                + "\"pick\":\"lottery\",\"propagation\":%s,\"pushDelayMax\":%s,"
                                + "\"pushesAllowed\":%d,\"queueCap\":%s,\"reportEvery\":%s,\"shards\":0,"
                                + "\"shiftFee\":0.01,\"soleOwner\":false,\"throttleBy\":\"%s\","
                                + "\"warmKeys\":true,\"writeClasses\":%s,\"zonal\":false,\"zoneBound\":%s}",
                        settings.proxies,
                        settings.bareS,
                        settings.standing,
                        settings.rate,
                        settings.ejects,
                        settings.intakePerS,
                        settings.head,
                        settings.lateS,
                        settings.lateMaxS,
                        settings.messagesMost,
                        settings.queueCap,
                        settings.periodS,
                        settings.throttle,
                        writes,
                        bound);
        String contract =
                String.format(
                        Locale.ROOT,
                        "{\"askWithin\":10.0,\"cold\":%s,\"coldShare\":%s,\"fallMultiple\":4.0,"
                                + "\"overloadFor\":1.5,\"stopSendingWithin\":%s}",
                        settings.coldS,
                        settings.coldShare,
                        settings.graceS);
        String text =
                "{\"azs\":"
                        + json(settings.zones)
                        + ",\"balancers\":"
                        + controllers.size()
                        + ",\"contract\":"
                        + contract
                        + ",\"domain\":"
                        + domain
                        + ",\"kinds\":"
                        + json(settings.kinds)
                        + ",\"membershipMode\":\"automatic\",\"objectiveMix\":{\"whole\":0.7,"
                        + "\"worstClass\":0.1,\"worstTenant\":0.0,\"worstWindow\":0.2},"
                        + "\"policyLimits\":{\"connIdle\":15.0,\"connectTimeout\":0.25,"
                        + "\"cpuUsPerS\":802158,\"multiplex\":100,\"peers\":false,\"probes\":false},"
                        + "\"prices\":{\"connection\":0.02,\"crossZone\":0.06,\"handshake\":0.02,"
                        + "\"lateFail\":0.03,\"membershipMode\":0.0,\"moves\":0.0,\"peer\":0.01,"
                        + "\"probe\":0.02,\"waste\":0.03},\"profiles\":"
                        + profiles
                        + ",\"report\":{\"columns\":[\"utilization\",\"outstanding\",\"recent_ms\"],"
                        + "\"how\":\"inline\"},\"slotNo\":"
                        + c.number
                        + ",\"tick\":0.004,\"weightSource\":\"off\",\"workload\":\"control\","
                        + "\"worthBy\":\"request\",\"zone\":\""
                        + settings.zones.get(c.number % settings.zones.size())
                        + "\"}";
        return "{\"name\":\"n"
                + c.number
                + "\",\"listen\":\"127.0.0.1:"
                + c.listen.getPort()
                + "\",\"discovery\":\"127.0.0.1:"
                + c.agent.port()
                + "\",\"seed\":\""
                + Long.toHexString(random.nextLong())
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + list.full()
                + ",\"settings\":"
                + text
                + "}";
    }

    static byte[] resp(String... strings) {
        StringBuilder text = new StringBuilder("*" + strings.length + "\r\n");
        for (String s : strings) {
            text.append('$')
                    .append(s.getBytes(StandardCharsets.UTF_8).length)
                    .append("\r\n")
                    .append(s)
                    .append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                text.append((char) b);
            }
        }
        return text.toString();
    }

    static List<String> readResp(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        int count = Integer.parseInt(first.substring(1));
        List<String> strings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String length = line(in);
            byte[] bytes = in.readNBytes(Integer.parseInt(length.substring(1)));
            line(in);
            strings.add(new String(bytes, StandardCharsets.UTF_8));
        }
        return strings;
    }

    // ---- what a case sets up -------------------------------------------------------------

    Server addServer(String id, String zone, String kind, double cores) {
        Server server = new Server(id, zone, kind, cores);
        servers.put(id, server);
        return server;
    }

    /** A server that starts now and is listed now. */
    Server startServer(String id, String zone, String kind, double cores) {
        Server server = addServer(id, zone, kind, cores);
        server.startedWallMs = System.currentTimeMillis();
        server.startedNs = System.nanoTime();
        server.coldS = settings.coldS;
        leaving.remove(id);
        long version = list.set(List.of(server));
        server.startedVersion = version;
        note("list " + version + ": " + id + " SERVING, started now (" + zone + ", " + kind + ")");
        return server;
    }

    void publishAll() {
        list.set(new ArrayList<>(servers.values()));
    }

    void setState(List<String> ids, String state) {
        List<Server> changed = new ArrayList<>();
        for (String id : ids) {
            Server server = servers.get(id);
            server.state = state;
            server.listed = !state.equals("DELETED");
            changed.add(server);
        }
        long version = list.set(changed);
        for (String id : ids) {
            if (state.equals("SERVING")) {
                servers.get(id).startedVersion = version;
                leaving.remove(id);
            } else {
                leaving.putIfAbsent(id, new Leaving(version));
            }
        }
        note("list " + version + ": " + ids + " " + state);
    }

    void addProxies() {
        double total = 0;
        double[] sizes = new double[settings.proxies];
        for (int i = 0; i < sizes.length; i++) {
            sizes[i] = 0.5 + random.nextDouble();
            total += sizes[i];
        }
        for (int i = 0; i < sizes.length; i++) {
            Proxy proxy =
                    new Proxy(
                            i,
                            settings.zones.get(i % settings.zones.size()),
                            settings.requestsPerS * sizes[i] / total);
            proxies.add(proxy);
        }
    }

    // ---- events --------------------------------------------------------------------------

    private void received(Conn conn, List<Map<String, String>> parts, long now) {
        Proxy proxy = conn.proxy;
        if (conn.silent || conn.ended || proxy == null || proxy.conn != conn) {
            return;
        }
        if (!parts.get(0).get("kind").equals("assign")) {
            quiet("proxy " + proxy.number + " got " + parts);
            return;
        }
        double lines = settings.head;
        for (Map<String, String> part : parts) {
            lines += part.containsKey("whole") ? 1 : 0;
            lines += part.containsKey("level") ? 1 : 0;
            lines += part.containsKey("ticket") ? 1 : 0;
            for (String field : List.of("lines", "out", "back")) {
                lines += part.containsKey(field) ? part.get(field).split(",").length : 0;
            }
        }
        Controller c = conn.controller;
        Msg msg = new Msg(proxy, conn, parts, lines, now);
        c.channelFreeNs =
                Math.max(now, c.channelFreeNs)
                        + (long) (lines / settings.rate * slowFactor * 1e9);
        msg.leftNs = c.channelFreeNs;
        double late = settings.lateS * (0.6 + 0.8 * random.nextDouble());
        msg.arrivesNs = msg.leftNs + (long) (Math.min(late, settings.lateMaxS) * 1e9);
        c.channel.addLast(msg);
        double waiting = 0;
        for (Msg m : c.channel) {
            waiting += m.leftNs > now && !m.conn.ended && !m.conn.silent ? m.lines : 0;
        }
        c.maxWaiting = Math.max(c.maxWaiting, waiting);
        if (waiting > settings.queueCap) {
            queueBreaks++;
        }
        proxy.messages.addLast(now);
        proxy.lastMessageNs = now;
        while (now - proxy.messages.peekFirst() > 10_000_000_000L) {
            proxy.messages.removeFirst();
        }
        if (settings.messagesMost > 0 && proxy.messages.size() > settings.messagesMost) {
            messageBreaks++;
        }
        quiet("to proxy " + proxy.number + ", " + (int) lines + " lines, " + (int) waiting
                + " waiting: " + parts);
    }

    private void connectionEnded(Conn conn) {
        conn.ended = true;
        if (conn.proxy != null && conn.proxy.conn == conn) {
            conn.proxy.conn = null;
            conn.proxy.joinedNs = Long.MAX_VALUE;
            conn.proxy.dialNs = System.nanoTime() + redialNs();
            quiet("stream of proxy " + conn.proxy.number + " ended");
        }
    }

    private long redialNs() {
        return (long)
                ((settings.redialMinS
                                + random.nextDouble() * (settings.redialMaxS - settings.redialMinS))
                        * 1e9);
    }

    /** Cuts proxies off: their streams stay open and say nothing. */
    void cut(Collection<Proxy> which) {
        for (Proxy proxy : which) {
            proxy.cut = true;
            if (proxy.conn != null) {
                proxy.conn.silent = true;
            }
        }
        note("proxies cut off: " + which.stream().map(p -> p.number).toList());
    }

    /** Ends a cut: old streams are reset, proxies dial again. */
    void heal(Collection<Proxy> which) {
        for (Proxy proxy : which) {
            proxy.cut = false;
            proxy.down = false;
            if (proxy.conn != null) {
                proxy.conn.reset();
                proxy.conn = null;
                proxy.joinedNs = Long.MAX_VALUE;
                proxy.dialNs = System.nanoTime() + redialNs();
            }
        }
        note("proxies are back: " + which.stream().map(p -> p.number).toList());
    }

    /** Processes of proxies die: their streams are reset and what they held is lost. */
    void die(Collection<Proxy> which) {
        resetStreams(which);
        for (Proxy proxy : which) {
            proxy.cut = true;
            proxy.down = true;
            proxy.tables.clear();
            proxy.out.clear();
            proxy.levels.clear();
            proxy.holdsOrdered = false;
        }
    }

    /** Proxies start again with a standing table and dial. */
    void comeBack(Collection<Proxy> which) {
        which.forEach(Proxy::standing);
        heal(which);
    }

    /** A server's process starts again under its id; the list does not show it yet. */
    void startsAgain(Server server) {
        server.up = true;
        server.state = "SERVING";
        server.startedWallMs = System.currentTimeMillis();
        server.startedNs = System.nanoTime();
        server.listed = false;
    }

    /** Resets streams; the proxies dial again. */
    void resetStreams(Collection<Proxy> which) {
        for (Proxy proxy : which) {
            if (proxy.conn != null) {
                proxy.conn.reset();
                proxy.conn = null;
                proxy.joinedNs = Long.MAX_VALUE;
                proxy.dialNs = System.nanoTime() + redialNs();
            }
        }
        note("streams reset: " + which.stream().map(p -> p.number).toList());
    }

    private void dial(Proxy proxy) {
        List<Controller> order = new ArrayList<>();
        for (int i = 0; i < controllers.size(); i++) {
            order.add(controllers.get((proxy.home + i) % controllers.size()));
        }
        for (Controller c : order) {
            if (!c.used) {
                continue;
            }
            try {
                Conn conn = new Conn(c, proxy);
                proxy.conn = conn;
                conn.write(
                        resp(
                                "attach", "node", "" + proxy.number, "locality", proxy.zone, "w",
                                String.format(Locale.ROOT, "%.1f", proxy.rate), "cold",
                                proxy.holdsOrdered ? "0" : "1"));
                proxy.joinedNs = System.nanoTime();
                proxy.messages.clear();
                quiet("proxy " + proxy.number + " joins controller " + c.number);
                return;
            } catch (IOException e) {
                // the next controller
            }
        }
        proxy.dialNs = System.nanoTime() + redialNs();
    }

    private void apply(Msg msg, long now) {
        Proxy proxy = msg.proxy;
        if (msg.conn.ended || msg.conn.silent || proxy.conn != msg.conn) {
            return;
        }
        String ticket = null;
        for (Map<String, String> part : msg.parts) {
            List<String> classes = new ArrayList<>();
            if (part.containsKey("classes")) {
                classes.addAll(List.of(part.get("classes").split("\\+")));
            } else {
                settings.classes.forEach(k -> classes.add(k.name()));
            }
            for (String k : classes) {
                Map<String, Double> table = proxy.tables.computeIfAbsent(k, x -> new TreeMap<>());
                if ("1".equals(part.get("whole"))) {
                    table.clear();
                    proxy.levels.remove(k);
                    proxy.holdsOrdered = true;
                }
                if (part.containsKey("lines")) {
                    for (String entry : part.get("lines").split(",")) {
                        int colon = entry.lastIndexOf(':');
                        double weight = Double.parseDouble(entry.substring(colon + 1));
                        if (weight > 0) {
                            table.put(entry.substring(0, colon), weight);
                        } else {
                            table.remove(entry.substring(0, colon));
                        }
                    }
                }
                if (part.containsKey("level")) {
                    proxy.levels.put(k, Double.parseDouble(part.get("level")));
                }
            }
            if (part.containsKey("out")) {
                proxy.out.addAll(List.of(part.get("out").split(",")));
            }
            if (part.containsKey("back")) {
                List.of(part.get("back").split(",")).forEach(proxy.out::remove);
            }
            ticket = part.getOrDefault("ticket", ticket);
        }
        if (ticket != null) {
            quiet("proxy " + proxy.number + " answers mark " + ticket);
            msg.conn.write(
                    resp(
                            "done", "node", "" + proxy.number, "nonce", ticket, "latency",
                            String.format(Locale.ROOT, "%.1f", (now - msg.enteredNs) / 1e6)));
        }
    }

    /** Whether a server is warm, listed ready and open to the class of a proxy. */
    private boolean openAndWarm(Server s, Proxy proxy, Klass klass, long now) {
        return s.state.equals("SERVING")
                && s.listed
                && s.up
                && (!klass.ownZone() || s.zone.equals(proxy.zone))
                && (s.startedWallMs == 0 || now - s.startedNs > settings.coldS * 1e9);
    }

    private static final long SLACK_NS = 300_000_000L;

    private void request(Proxy proxy, Klass klass, long now) {
        requests++;
        proxy.demand.computeIfAbsent(klass.name(), k -> new int[1])[0]++;
        Double level = proxy.levels.get(klass.name());
        if (level != null && level < 1e5) {
            double tokens = proxy.tokens.getOrDefault(klass.name(), 1.0);
            if (tokens < 1) {
                refused++;
                return;
            }
            proxy.tokens.put(klass.name(), tokens - 1);
        }
        Map<String, Double> lines = proxy.selectable(klass.name());
        if (lines.isEmpty()) {
            refused++;
            return;
        }
        // A proxy keeps away for a while from a server at which its own tries in a row failed.
        lines.keySet().removeIf(id -> proxy.avoidUntilNs.getOrDefault(id, 0L) > now);
        if (lines.isEmpty()) {
            refused++;
            return;
        }
        double sum = lines.values().stream().mapToDouble(w -> w).sum();
        double at = random.nextDouble() * sum;
        String picked = null;
        for (Map.Entry<String, Double> line : lines.entrySet()) {
            picked = line.getKey();
            at -= line.getValue();
            if (at <= 0) {
                break;
            }
        }
        Server server = servers.get(picked);
        ran.merge(picked, 1, Integer::sum);
        if (server.up) {
            proxy.failuresInRow.remove(picked);
        } else if (settings.ejects > 0
                && proxy.failuresInRow.merge(picked, 1, Integer::sum) >= settings.ejects) {
            proxy.failuresInRow.remove(picked);
            proxy.avoidUntilNs.put(picked, now + (long) (settings.ejectS * 1e9));
        }
        checkDrain(proxy, server, klass, now);
        if (proxy.joined()) {
            Pair pair =
                    pairs.computeIfAbsent(
                            proxy.conn.controller.number + "|" + proxy.zone + "|" + picked,
                            k -> {
                                Pair p = new Pair();
                                p.sinceNs = now;
                                return p;
                            });
            pair.tries++;
            if (!server.up) {
                pair.errors++;
            } else {
                double work = klass.workS() * (0.5 + random.nextDouble());
                server.workNow += work;
                checkCold(proxy, server, work, now);
                pair.seconds += work * (1 + server.util);
            }
        } else if (server.up) {
            server.workNow += klass.workS();
        }
    }

    private void checkDrain(Proxy proxy, Server server, Klass klass, long now) {
        Leaving left = leaving.get(server.id);
        if (left == null || !proxy.joined()) {
            return;
        }
        Controller c = proxy.conn.controller;
        long told = c.agent.toldOf(left.version());
        if (told == Long.MAX_VALUE) {
            return;
        }
        long begin = Math.max(Math.max(told, proxy.joinedNs), c.answeredNs + 1_000_000_000L);
        double lateS = (now - begin) / 1e9 - settings.graceS * slowMost - SLACK_NS / 1e9;
        if (lateS > 0) {
            drainBreaks++;
            worstLateS = Math.max(worstLateS, lateS);
            int sent = sentToLeft.merge(server.id, 1, Integer::sum);
            if (sent <= 3) {
                note(
                        String.format(
                                Locale.ROOT,
                                "RULE drain: proxy %d (joined) sent a %s to %s (%s), told %.2f s ago,"
                                        + " joined %.2f s ago, %.2f s past the grace",
                                proxy.number,
                                klass.name(),
                                server.id,
                                server.state,
                                (now - told) / 1e9,
                                (now - proxy.joinedNs) / 1e9,
                                lateS));
            }
        }
    }

    int coldBreaks;
    double worstCold;

    /** The rule on cold servers: work within a window against what the server can do now. */
    private void checkCold(Proxy proxy, Server server, double work, long now) {
        if (server.startedWallMs == 0
                || now - server.startedNs > settings.coldS * 1e9
                || server.fell) {
            return;
        }
        long told = proxy.conn.controller.agent.toldOf(server.startedVersion);
        boolean knows =
                told != Long.MAX_VALUE
                        && (proxy.lastMessageNs > told
                                || now - told > settings.graceS * 1e9 + SLACK_NS);
        server.coldWork.addLast(new double[] {now, work, knows ? work : 0});
        double window = settings.fallS + 0.3;
        while (now - server.coldWork.peekFirst()[0] > window * 1e9) {
            server.coldWork.removeFirst();
        }
        double ratio =
                settings.coldShare
                        + (1 - settings.coldShare) * (now - server.startedNs) / 1e9 / settings.coldS;
        double all = server.coldWork.stream().mapToDouble(w -> w[1]).sum();
        double knowing = server.coldWork.stream().mapToDouble(w -> w[2]).sum();
        double budget = settings.fallMultiple * ratio * server.cores * window * 1.1 + 0.5;
        worstCold = Math.max(worstCold, knowing / budget);
        if (all > budget && knowing >= all * 2 / 3) {
            server.fell = true;
            coldBreaks++;
            note(
                    String.format(
                            Locale.ROOT,
                            "RULE cold: %s, started %.2f s ago, was sent %.2f s of work within %.1f s,"
                                    + " its budget is %.2f s",
                            server.id,
                            (now - server.startedNs) / 1e9,
                            all,
                            window,
                            budget));
        }
    }

    private void checkBare(Proxy proxy, Klass klass, long now) {
        if (!proxy.joined()
                || now - proxy.conn.controller.answeredNs < 1_000_000_000L
                || !proxy.selectable(klass.name()).isEmpty()
                || servers.values().stream().noneMatch(s -> openAndWarm(s, proxy, klass, now))) {
            proxy.bareSinceNs.remove(klass.name());
            return;
        }
        long since = proxy.bareSinceNs.computeIfAbsent(klass.name(), k -> now);
        double late = (now - since) / 1e9 - settings.bareS * slowMost - SLACK_NS / 1e9;
        if (late > 0) {
            worstBareS = Math.max(worstBareS, late);
            if (bare.merge(proxy.number + " " + klass.name(), 1, Integer::sum) == 1) {
                bareBreaks++;
                note(
                        "RULE no node: proxy " + proxy.number + " has had no line for "
                                + klass.name() + " for "
                                + String.format(Locale.ROOT, "%.2f s", (now - since) / 1e9)
                                + " while warm open servers are listed SERVING");
            }
        }
    }

    private record Report(long atNs, Controller controller, String zone, byte[] bytes, Proxy proxy) {}

    private final ArrayDeque<Report> reports = new ArrayDeque<>();
    private double intake;

    private void gather(long now, double dt) {
        intake = Math.min(intake + settings.intakePerS * dt, settings.intakePerS);
        while (intake >= 1) {
            intake--;
            if (!gatherOldest(now)) {
                break;
            }
        }
        while (!reports.isEmpty() && reports.peekFirst().atNs() <= now) {
            Report report = reports.removeFirst();
            if (report.proxy() != null) {
                if (report.proxy().joined()) {
                    report.proxy().conn.write(report.bytes());
                }
            } else if (report.controller().used) {
                collector(report.controller(), report.zone())
                        .ifPresent(c -> c.conn.write(report.bytes()));
            }
        }
    }

    private Optional<Collector> collector(Controller c, String zone) {
        Collector collector = c.collectors.get(zone);
        try {
            if (collector == null || collector.conn.ended) {
                collector = new Collector(c, zone);
                c.collectors.put(zone, collector);
            }
            return Optional.of(collector);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Passes on the pair, or the demand of a proxy, that has waited longest. */
    private boolean gatherOldest(long now) {
        String oldest = null;
        long oldestNs = now - (long) (settings.periodS * 1e9);
        for (Map.Entry<String, Pair> entry : pairs.entrySet()) {
            if (entry.getValue().tries > 0 && entry.getValue().sinceNs < oldestNs) {
                oldestNs = entry.getValue().sinceNs;
                oldest = entry.getKey();
            }
        }
        Proxy oldestProxy = null;
        for (Proxy proxy : proxies) {
            if (proxy.joined() && proxy.demandSentNs < oldestNs && !proxy.demand.isEmpty()) {
                oldestNs = proxy.demandSentNs;
                oldestProxy = proxy;
            }
        }
        long at = now + (long) (settings.heardLateS * 1e9);
        if (oldestProxy != null) {
            Proxy proxy = oldestProxy;
            long from = Math.max(proxy.demandSentNs, Math.max(proxy.joinedNs, now - 5_000_000_000L));
            double interval = Math.max(1, (now - from) / 1e6);
            proxy.demand.forEach(
                    (k, count) ->
                            reports.add(
                                    new Report(
                                            at,
                                            proxy.conn.controller,
                                            proxy.zone,
                                            resp(
                                                    "client_stats", "node", "" + proxy.number,
                                                    "route", k, "total", "" + count[0], "errors",
                                                    "0", "interval", fixed(interval)),
                                            proxy)));
            intake -= proxy.demand.size() - 1;
            proxy.demand.clear();
            proxy.demandSentNs = now;
            return true;
        }
        if (oldest == null) {
            return false;
        }
        Pair pair = pairs.get(oldest);
        String[] key = oldest.split("\\|");
        Server server = servers.get(key[2]);
        List<String> strings = new ArrayList<>();
        Collections.addAll(
                strings, "upstream_stats", "locality", key[1], "endpoint", key[2], "total",
                "" + pair.tries, "errors", "" + pair.errors, "rtt",
                fixed(
                        pair.tries > pair.errors
                                ? pair.seconds / (pair.tries - pair.errors) * 1e3
                                : 0),
                "interval", fixed((now - pair.sinceNs) / 1e6));
        if (server.up && pair.tries > pair.errors) {
            double noise = 1 + settings.noise * random.nextGaussian();
            Collections.addAll(
                    strings, "metrics",
                    "util:" + String.format(Locale.ROOT, "%.3f", Math.min(1, Math.max(0, server.util * noise)))
                            + ",inflight:" + (int) Math.ceil(server.util * server.cores)
                            + ",latency_ms:" + fixed(160 * noise));
        }
        reports.add(
                new Report(
                        at,
                        controllers.get(Integer.parseInt(key[0])),
                        key[1],
                        resp(strings.toArray(new String[0])),
                        null));
        pair.tries = 0;
        pair.errors = 0;
        pair.seconds = 0;
        pair.sinceNs = now;
        return true;
    }

    private static String fixed(double value) {
        return String.format(Locale.ROOT, "%.1f", Math.max(0, value));
    }

    /** Plays until the given second. */
    void run(double endSeconds) {
        long last = System.nanoTime();
        long lastUtil = last;
        long lastRecord = last;
        while (seconds(System.nanoTime()) < endSeconds) {
            sleep(4);
            long now = System.nanoTime();
            double dt = (now - last) / 1e9;
            last = now;
            for (Runnable event = inbox.poll(); event != null; event = inbox.poll()) {
                event.run();
            }
            while (!timed.isEmpty() && timed.peek().atNs() <= now) {
                timed.poll().action().run();
            }
            for (Controller c : controllers) {
                while (!c.channel.isEmpty() && c.channel.peekFirst().arrivesNs <= now) {
                    apply(c.channel.removeFirst(), now);
                }
            }
            for (Proxy proxy : proxies) {
                if (proxy.conn == null && !proxy.cut && now >= proxy.dialNs) {
                    dial(proxy);
                }
                if (proxy.down) {
                    continue;
                }
                for (Klass klass : settings.classes) {
                    double level = proxy.levels.getOrDefault(klass.name(), 1e6);
                    proxy.tokens.merge(
                            klass.name(), level * dt, (a, b) -> Math.min(a + b, 1 + level * 0.5));
                    double wave =
                            1 + settings.swing * Math.sin(seconds(now) * 2 * Math.PI / 10);
                    double expected = proxy.rate * klass.share() * dt * wave;
                    while (random.nextDouble() < expected) {
                        request(proxy, klass, now);
                        expected -= 1;
                    }
                    checkBare(proxy, klass, now);
                }
            }
            if (now - lastRecord > 1_000_000_000L) {
                lastRecord = now;
                quiet("requests sent by server: " + ran);
                ran.clear();
            }
            if (now - lastUtil > 500_000_000L) {
                double span = (now - lastUtil) / 1e9;
                lastUtil = now;
                for (Server s : servers.values()) {
                    double ratio = 1;
                    if (s.startedWallMs > 0) {
                        ratio = Math.min(1, settings.coldShare
                                + (1 - settings.coldShare) * (now - s.startedNs) / 1e9 / settings.coldS);
                    }
                    s.util = 0.5 * s.util + 0.5 * Math.min(1, s.workNow / span / s.cores / ratio);
                    s.workNow = 0;
                }
            }
            gather(now, dt);
        }
    }

    /** Copies what the controllers logged, without their status lines, into the record. */
    private void recordLogs() {
        for (Controller c : controllers) {
            try {
                for (String line :
                        Files.readAllLines(folder.resolve("controller-" + c.number + ".log"))) {
                    if (!line.contains("StatusReporter")) {
                        record.println("log of controller " + c.number + ": " + line);
                    }
                }
            } catch (IOException e) {
                record.println("log of controller " + c.number + " can't be read: " + e);
            }
        }
    }

    /** Writes what was seen; returns the exit code for the rule that the case names. */
    int finish(String rule) {
        for (Controller c : controllers) {
            if (c.used && !c.process.isAlive()) {
                note("controller " + c.number + " ended by itself, exit code " + c.process.exitValue());
                return 2;
            }
        }
        endProcesses();
        recordLogs();
        note(
                String.format(
                        Locale.ROOT,
                        "requests %d, refused %d; drain: %d sent too late to %s, worst %.2f s past the"
                                + " grace; no node: %d proxies and classes %s, worst %.2f s past the limit;"
                                + " queue: %d breaks, most"
                                + " lines %s; messages: %d breaks; cold: %d fell, worst %.2f of budget",
                        requests,
                        refused,
                        drainBreaks,
                        sentToLeft,
                        worstLateS,
                        bareBreaks,
                        bare.keySet(),
                        worstBareS,
                        queueBreaks,
                        controllers.stream().map(c -> (int) c.maxWaiting).toList(),
                        messageBreaks,
                        coldBreaks,
                        worstCold));
        int breaks =
                switch (rule) {
                    case "drain" -> drainBreaks;
                    case "bare" -> bareBreaks;
                    case "cold" -> coldBreaks;
                    case "queue" -> queueBreaks + messageBreaks;
                    default -> coldBreaks + drainBreaks + bareBreaks + queueBreaks + messageBreaks;
                };
        note(breaks > 0 ? "rule " + rule + " BROKEN" : "rule " + rule + " held");
        record.close();
        return breaks > 0 ? 1 : 0;
    }
}
