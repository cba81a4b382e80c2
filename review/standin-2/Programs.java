package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts and ends the project's programs, by the command of the deploy file. */
final class Programs implements AutoCloseable {
    private static final long LONGEST_RUN_MILLIS = 115_000;

    final Path root;
    final Path temporary;
    private final Record record;
    private final String run;
    private final List<Process> started = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();

    Programs(Path root, Path temporary, Record record) throws IOException {
        this.root = root;
        this.temporary = temporary;
        this.record = record;
        Matcher line =
                Pattern.compile("(?m)^run = \"(.*) serve\"$")
                        .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no run that ends with serve");
        }
        run = line.group(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread limit = new Thread(this::endLongRun, "limit");
        limit.setDaemon(true);
        limit.start();
    }

    /** Ends a run that takes too long: the case could not run. */
    private void endLongRun() {
        try {
            Thread.sleep(LONGEST_RUN_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        record.line("ended after " + LONGEST_RUN_MILLIS + " ms; exit code 2");
        close();
        Runtime.getRuntime().halt(2);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return socket.getLocalPort();
        }
    }

    /**
     * Starts a program by the deploy file's command.
     *
     * @param arguments what stands in place of {@code serve}
     */
    Process start(String log, String arguments, String... environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + " " + arguments);
        builder.directory(root.toFile());
        for (int i = 0; i < environment.length; i += 2) {
            builder.environment().put(environment[i], environment[i + 1]);
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(temporary.resolve(log + ".log").toFile()));
        Process process = builder.start();
        synchronized (started) {
            started.add(process);
        }
        record.line("start " + log + ": " + arguments);
        return process;
    }

    /** Runs a tool to its end; returns its exit code. */
    int tool(String arguments) throws IOException, InterruptedException {
        Path output = temporary.resolve("tool.log");
        Files.deleteIfExists(output);
        Process process = start("tool", arguments);
        if (!process.waitFor(40, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            return -1;
        }
        for (String line : Files.readAllLines(output, StandardCharsets.UTF_8)) {
            record.line("  tool: " + line);
        }
        record.line("  tool: exit code " + process.exitValue());
        return process.exitValue();
    }

    /** Ends a program by SIGTERM and waits for its end. */
    void terminate(Process process) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(5, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            process.waitFor();
        }
    }

    /** Kills a program outright. */
    void kill(Process process) throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Makes an HTTP request; returns status and body, or status 0 and the failure. */
    HttpResult request(String method, int port, String path, String body) {
        try {
            HttpResponse<String> response =
                    http.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                                    .timeout(Duration.ofSeconds(3))
                                    .method(
                                            method,
                                            body.isEmpty()
                                                    ? HttpRequest.BodyPublishers.noBody()
                                                    : HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return new HttpResult(response.statusCode(), response.body());
        } catch (IOException e) {
            return new HttpResult(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new HttpResult(0, "interrupted");
        }
    }

    record HttpResult(int status, String body) {}

    /** Copies the lines of a program's log that contain one of the words to the record. */
    void copyLog(String log, String... words) throws IOException {
        for (String line : Files.readAllLines(temporary.resolve(log + ".log"))) {
            for (String word : words) {
                if (line.contains(word)) {
                    record.line("  log of " + log + ": " + line);
                    break;
                }
            }
        }
    }

    @Override
    public void close() {
        synchronized (started) {
            started.forEach(Process::destroyForcibly);
        }
    }
}
