package rosespread.testbed;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/** The one thread on which all stand-ins of a process live, and its clock. */
public final class TestLoop implements AutoCloseable {
    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(
                    1,
                    task -> {
                        Thread made = new Thread(task, "standins");
                        made.setDaemon(true);
                        return made;
                    });

    public TestLoop() {
        thread.setRemoveOnCancelPolicy(true);
    }

    public long now() {
        return System.nanoTime();
    }

    public void run(Runnable task) {
        after(0, task);
    }

    public ScheduledFuture<?> after(long nanos, Runnable task) {
        return thread.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LoggerFactory.getLogger(TestLoop.class).error("a stand-in failed", e);
                    }
                },
                Math.max(0, nanos),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
