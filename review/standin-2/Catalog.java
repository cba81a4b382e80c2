package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The endpoint list as one controller sees it: Consul's health endpoint with blocking queries. A
 * change can be told late; while the list is silent, calls are accepted and not answered.
 */
final class Catalog {
    final int port;
    private final HttpServer server;
    private final Map<String, NodeServer> nodes = new TreeMap<>();
    private final ScheduledExecutorService later =
            Executors.newScheduledThreadPool(1, Catalog::daemon);
    private long index = 10;
    private boolean silent;

    Catalog(Collection<NodeServer> listed) throws IOException {
        listed.forEach(node -> nodes.put(node.name, node));
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Catalog::daemon));
        server.createContext("/v1/health/service/tills", this::handle);
        server.start();
        port = server.getAddress().getPort();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "catalog");
        thread.setDaemon(true);
        return thread;
    }

    /** Drops a node from the list, and tells so after a delay. */
    void remove(String name, long delayMillis, Runnable told) {
        later.schedule(
                () -> {
                    synchronized (this) {
                        nodes.remove(name);
                        index++;
                        notifyAll();
                    }
                    told.run();
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    synchronized void setSilent(boolean value) {
        silent = value;
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        long known = 0;
        long waitMillis = 0;
        for (String part : (query == null ? "" : query).split("&")) {
            if (part.startsWith("index=")) {
                known = Long.parseLong(part.substring(6));
            } else if (part.startsWith("wait=")) {
                waitMillis = Long.parseLong(part.substring(5).replace("ms", ""));
            }
        }
        byte[] body;
        long answered;
        try {
            synchronized (this) {
                long deadline = System.nanoTime() + waitMillis * 1_000_000L;
                while (silent || (known >= index && System.nanoTime() < deadline)) {
                    wait(50);
                }
                answered = index;
                body = body().getBytes(StandardCharsets.UTF_8);
            }
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.getResponseHeaders().add("X-Consul-Index", Long.toString(answered));
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            exchange.close();
        }
    }

    private String body() {
        StringBuilder json = new StringBuilder("[");
        for (NodeServer node : nodes.values()) {
            if (json.length() > 1) {
                json.append(',');
            }
            json.append("{\"Node\":{\"Node\":\"m-")
                    .append(node.name)
                    .append("\",\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"")
                    .append(node.name)
                    .append("\",\"Service\":\"tills\",\"Address\":\"127.0.0.1\",\"Port\":")
                    .append(node.port)
                    .append(",\"Tags\":[\"zone=")
                    .append(node.zone)
                    .append("\"],\"Meta\":{\"kind\":\"small-2core\",\"started\":\"0\"},")
                    .append("\"Weights\":{\"Passing\":1,\"Warning\":1}},")
                    .append("\"Checks\":[{\"CheckID\":\"serfHealth\",\"Status\":\"passing\"}]}");
        }
        return json.append(']').toString();
    }
}
