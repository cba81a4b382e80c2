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
 * A controller as a process of its own, known only by its sockets and its process id. One thread at
 * a time starts and ends it; its state may be read from others. Its methods block, so the loop's
 * thread calls only {@link #isAlive}, {@link #cpuTime} and {@link #residentMegabytes}.
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
     * A controller that is yet to be started.
     *
     * @param folder takes its log and its state
     * @param leadingArguments go before the usual ones
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

    /** Takes what all of its processes print. */
    Path logFile() {
        return folder.resolve(name + ".log");
    }

    /**
     * Starts a process with the state that the one before has left; does not wait until it is up.
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
     * Waits until the control API answers and gives it the settings.
     *
     * @throws IOException if the process ended or did not answer in time, or refused the settings
     */
    void putSettings(String json) throws IOException {
        HttpMessage.Response response = callWhenUp("PUT", "/v1/settings", json);
        if (response.status() != HTTP_OK) {
            throw new IOException(
                    "conductor " + name + " did not take its settings: " + response.text());
        }
    }

    /**
     * Reads from the control API as soon as it answers.
     *
     * @throws IOException if the process ended or did not answer in time
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
                pause();
            }
        }
        throw new IOException(
                "conductor " + name + " did not start: " + failure + "; see " + logFile());
    }

    private static void pause() throws IOException {
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
     * @param headers names and values in turn
     * @throws IOException if it was not answered, or the thread was interrupted
     */
    HttpMessage.Response call(String verb, String path, String body, String... headers)
            throws IOException {
        HttpMessage.Request request =
                new HttpMessage.Request(
                        verb,
                        path,
                        HttpHeaders.of(headers).add("host", hostAndPort(controlAddress)),
                        body.getBytes(StandardCharsets.UTF_8));
        Answer answer = new Answer();
        http.call(controlAddress, request, CALL_TIMEOUT_NANOS, answer);
        return answer.await();
    }

    /** Hands an answer from the client's thread to the one that waits for it. */
    private static final class Answer implements HttpClient.ResponseHandler {
        private final CompletableFuture<HttpMessage.Response> response = new CompletableFuture<>();

        @Override
        public void onResponse(HttpMessage.Response got) {
            response.complete(got);
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

    /** Ends the process outright, as a crash does, and waits until it is gone. */
    void kill() {
        endedCpuTime = cpuTime();
        process.destroyForcibly();
        awaitEnd();
    }

    /** Asks the process to end and waits for it; one that goes on too long is killed. */
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

    /** Lets the process stand still, or go on. */
    void setSuspended(boolean suspended) throws IOException {
        String signal = suspended ? "-STOP" : "-CONT";
        try {
            new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** CPU time used since the first start, over all its processes. */
    Duration cpuTime() {
        return isAlive()
                ? endedCpuTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO))
                : endedCpuTime;
    }

    /** Resident memory in MB; 0 where the system does not show it. */
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
