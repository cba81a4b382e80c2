package rosespread.controller;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongFunction;
import rosespread.eventloop.EventQueue;

/** Lets other threads call the event loop and wait for the result; safe for use by any thread. */
final class EventLoopCaller {
    /** Maximum time for which a caller waits for a call's result. */
    static final long TIMEOUT_SECONDS = 2;

    private final EventQueue queue;

    EventLoopCaller(EventQueue queue) {
        this.queue = queue;
    }

    /**
     * Runs a call on the event-loop thread and waits for its result.
     *
     * @param call takes the time of the event by {@link System#nanoTime()}
     * @throws IOException if the event loop does not run the call within {@link #TIMEOUT_SECONDS},
     *     or the caller is interrupted; the call may still run later
     */
    <T> T call(LongFunction<T> call) throws IOException {
        CompletableFuture<T> result = new CompletableFuture<>();
        queue.put(now -> result.complete(call.apply(now)));
        try {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    "event loop did not run the call within " + TIMEOUT_SECONDS + " s", e);
        }
    }

    /** Runs an action on the event-loop thread and waits without a time limit until it is done. */
    void run(EventQueue.Event action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        queue.put(
                now -> {
                    action.handle(now);
                    done.complete(null);
                });
        done.join();
    }
}
