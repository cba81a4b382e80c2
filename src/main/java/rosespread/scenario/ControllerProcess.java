package rosespread.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;
import rosespread.testbed.Ports;

/**
 * A controller that runs in a separate process, reached only through its sockets and its process
 * id. One thread at a time starts and ends it; other threads may read its state. The methods block,
 * so the loop's thread calls only {@link #isAlive}, {@link #cpuTime} and {@link
 * #residentMegabytes}.
 */
final class ControllerProcess {
    private static final long CALL_TIMEOUT_NANOS = 3_000_000_000L;
    private static final int MAX_START_ATTEMPTS = 200;
    private static final long START_ATTEMPT_PAUSE_MILLIS = 50;
    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final double KILOBYTES_PER_MEGABYTE = 1024;
    private static final int HTTP_OK = 200;

    private final String name;
    private final Path folder;
    private final String mainClass;
    private final List<String> leadingArguments;
    private final InetSocketAddress channelAddress;
    private final InetSocketAddress controlAddress;
    private final HttpClient http;
    private volatile Process process;
    private volatile Duration endedCpuTime = Duration.ZERO;

    /**
     * Creates a controller whose process is not started yet.
     *
     * @param folder directory for the controller's log and state
     * @param leadingArguments command-line arguments placed before the controller's own
     * @throws IOException if there is no free port
     */
    ControllerProcess(
            String name,
            Path folder,
            String mainClass,
            List<String> leadingArguments,
            HttpClient http)
            throws IOException {
        this.name = name;
        this.folder = folder;
        this.mainClass = mainClass;
        this.leadingArguments = leadingArguments;
        this.http = http;
        this.channelAddress = Ports.free();
        this.controlAddress = Ports.free();
    }

    String name() {
        return name;
    }

    InetSocketAddress channelAddress() {
        return channelAddress;
    }

    InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Returns the file that collects the output of all of this controller's processes. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }

    /**
     * Starts a process with the state that the previous process left; does not wait until it is up.
     */
    void start() throws IOException {
        process =
                new ProcessBuilder(command())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()))
                        .start();
    }

    private List<String> command() {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-Xmx256m",
                                "-XX:TieredStopAtLevel=1",
                                "-Xshare:auto",
                                "-cp",
                                System.getProperty("java.class.path"),
                                mainClass));
        command.addAll(leadingArguments);
        command.addAll(
                List.of(
                        "controller",
                        "--name",
                        name,
                        "--state",
                        folder.resolve(name).toString(),
                        "--listen",
                        hostAndPort(channelAddress),
                        "--control",
                        hostAndPort(controlAddress)));
        return command;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Waits until the control API answers and sends it the settings.
     *
     * @throws IOException if the process ended, did not answer any of {@link #MAX_START_ATTEMPTS}
     *     calls or rejected the settings
     */
    void putSettings(String json) throws IOException {
        HttpMessage.Response response = callWhenUp("PUT", "/v1/settings", json);
        if (response.status() != HTTP_OK) {
            throw new IOException(
                    "controller "
                            + name
                            + " rejected its settings: expected status "
                            + HTTP_OK
                            + ", got "
                            + response.status()
                            + ": "
                            + response.text());
        }
    }

    /**
     * Sends a GET request to the control API, repeated until the API answers.
     *
     * @throws IOException if the process ended or did not answer any of {@link #MAX_START_ATTEMPTS}
     *     calls
     */
    HttpMessage.Response getWhenUp(String path) throws IOException {
        return callWhenUp("GET", path, "");
    }

    private HttpMessage.Response callWhenUp(String verb, String path, String body)
            throws IOException {
        String failure = "";
        for (int i = 0; i < MAX_START_ATTEMPTS && process.isAlive(); i++) {
            try {
                return call(verb, path, body);
            } catch (IOException e) {
                failure = e.getMessage();
                pauseBeforeRetry();
            }
        }
        throw new IOException(
                "controller "
                        + name
                        + " did not start or did not answer "
                        + verb
                        + " "
                        + path
                        + ": "
                        + failure
                        + "; see "
                        + logFile());
    }

    private static void pauseBeforeRetry() throws IOException {
        try {
            Thread.sleep(START_ATTEMPT_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Makes one call to the control API.
     *
     * @param headers header names and values, alternating
     * @throws IOException if there was no response, or the thread was interrupted
     */
    HttpMessage.Response call(String verb, String path, String body, String... headers)
            throws IOException {
        HttpMessage.Request request =
                new HttpMessage.Request(
                        verb,
                        path,
                        HttpHeaders.of(headers).add("host", hostAndPort(controlAddress)),
                        body.getBytes(StandardCharsets.UTF_8));
        PendingResponse pending = new PendingResponse();
        http.call(controlAddress, request, CALL_TIMEOUT_NANOS, pending);
        return pending.await();
    }

    /**
     * Passes a response from the HTTP client's thread to the thread that waits for the response.
     */
    private static final class PendingResponse implements HttpClient.ResponseHandler {
        private final CompletableFuture<HttpMessage.Response> response = new CompletableFuture<>();

        @Override
        public void onResponse(HttpMessage.Response received) {
            response.complete(received);
        }

        @Override
        public void onFailure(HttpClient.Failure failure, String detail) {
            response.completeExceptionally(new IOException(detail));
        }

        HttpMessage.Response await() throws IOException {
            try {
                return response.get();
            } catch (ExecutionException e) {
                throw new IOException(e.getCause().getMessage(), e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    /** Kills the process without a shutdown, as in a crash, and waits until it has ended. */
    void kill() {
        endedCpuTime = cpuTime();
        process.destroyForcibly();
        awaitEnd();
    }

    /** Asks the process to end; kills it if it has not ended within the stop timeout. */
    void stop() {
        endedCpuTime = cpuTime();
        process.destroy();
        awaitEnd();
    }

    private void awaitEnd() {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Suspends the process (SIGSTOP) or resumes it (SIGCONT). */
    void setSuspended(boolean suspended) throws IOException {
        String signal = suspended ? "-STOP" : "-CONT";
        try {
            new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the CPU time since the first start, summed over all of this controller's processes.
     */
    Duration cpuTime() {
        return isAlive()
                ? endedCpuTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO))
                : endedCpuTime;
    }

    /** Returns the resident memory in MB; 0 if the system does not report it. */
    double residentMegabytes() {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        try {
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
                    .map(kilobytes -> kilobytes / KILOBYTES_PER_MEGABYTE)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
