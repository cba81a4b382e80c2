package rosespread.scenario;

import java.io.File;
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

/** A conductor as a process of its own, known only by its sockets and its process id. */
final class ControllerProcess {
    private static final long CALL = 3_000_000_000L;
    private static final int STARTS_MOST = 200;

    private final String name;
    private final Path folder;
    private final String mainClass;
    private final List<String> extra;
    private final InetSocketAddress channelAddress;
    private final InetSocketAddress controlAddress;
    private final HttpClient http;
    private Process process;
    private Duration cpuBefore = Duration.ZERO;

    ControllerProcess(
            String name, Path folder, String mainClass, List<String> extra, HttpClient http)
            throws IOException {
        this.name = name;
        this.folder = folder;
        this.mainClass = mainClass;
        this.extra = extra;
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

    Path logFile() {
        return folder.resolve(name + ".log");
    }

    void start() throws IOException {
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
        command.addAll(extra);
        command.addAll(
                List.of(
                        "conductor",
                        "--name",
                        name,
                        "--state",
                        folder.resolve(name).toString(),
                        "--listen",
                        text(channelAddress),
                        "--control",
                        text(controlAddress)));
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()))
                        .start();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Waits until the control API answers and gives the settings. */
    void putSettings(String json) throws IOException {
        HttpMessage.Response got = callWhenUp("PUT", "/v1/settings", json);
        if (got.status() != 200) {
            throw new IOException(
                    "conductor " + name + " did not take its settings: " + got.text());
        }
    }

    /** Asks the control API as soon as it answers. */
    HttpMessage.Response getWhenUp(String path) throws IOException {
        return callWhenUp("GET", path, "");
    }

    private HttpMessage.Response callWhenUp(String verb, String path, String body)
            throws IOException {
        String failure = "";
        for (int i = 0; i < STARTS_MOST && process.isAlive(); i++) {
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

    /** One call to the control API. */
    HttpMessage.Response call(String verb, String path, String body, String... headers)
            throws IOException {
        CompletableFuture<HttpMessage.Response> answer = new CompletableFuture<>();
        http.call(
                controlAddress,
                new HttpMessage.Request(
                        verb,
                        path,
                        HttpHeaders.of(headers).add("host", text(controlAddress)),
                        body.getBytes(StandardCharsets.UTF_8)),
                CALL,
                new HttpClient.Taker() {
                    @Override
                    public void answered(HttpMessage.Response got) {
                        answer.complete(got);
                    }

                    @Override
                    public void failed(HttpClient.Failure why, String detail) {
                        answer.completeExceptionally(new IOException(detail));
                    }
                });
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Ends the process outright. */
    void kill() {
        cpuBefore = cpuTime();
        process.destroyForcibly();
        waitFor();
    }

    /** Asks the process to end. */
    void stop() {
        cpuBefore = cpuTime();
        process.destroy();
        waitFor();
    }

    private void waitFor() {
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
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
    void setSuspended(boolean on) throws IOException {
        try {
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** CPU used since the first start, over all its processes. */
    Duration cpuTime() {
        return isAlive()
                ? cpuBefore.plus(process.info().totalCpuDuration().orElse(Duration.ZERO))
                : cpuBefore;
    }

    /** Resident memory in MB where the system tells it, else 0. */
    double residentMegabytes() {
        File status = new File("/proc/" + process.pid() + "/status");
        try {
            return Files.readAllLines(status.toPath()).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
