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
    /** How long a caller waits for the event loop. */
    static final long TIMEOUT_SECONDS = 2;

    private final EventQueue queue;

    EventLoopCaller(EventQueue queue) {
        this.queue = queue;
    }

    /**
     * Runs a call on the event-loop thread and waits for its result.
     *
     * @param call takes the time of the event loop in nanoseconds
     * @throws IOException if the event loop does not run it in time, or the caller is interrupted;
     *     the call may still be run later
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
                    "the conductor did not take it up within " + TIMEOUT_SECONDS + " s", e);
        }
    }

    /** Runs an action on the event-loop thread and waits for it as long as it takes. */
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
