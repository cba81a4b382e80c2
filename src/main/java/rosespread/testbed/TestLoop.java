package rosespread.testbed;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread that runs all fakes of a process, and its clock. Safe for use by any thread.
 */
public final class TestLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TestLoop.class);

    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(1, TestLoop::newThread);

    /** Creates the loop; its thread is a daemon and does not keep the process alive. */
    public TestLoop() {
        executor.setRemoveOnCancelPolicy(true);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "testbed");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the time of the loop's clock in nanoseconds, from an arbitrary origin. */
    public long now() {
        return System.nanoTime();
    }

    /** Runs a task on the loop's thread, after the tasks submitted to {@code run} before. */
    public void run(Runnable task) {
        after(0, task);
    }

    /**
     * Runs a task on the loop's thread after a delay in nanoseconds. A failure of the task is
     * logged, and the loop continues.
     *
     * @return a handle that cancels the task
     */
    public ScheduledFuture<?> after(long nanos, Runnable task) {
        return executor.schedule(() -> runLogged(task), Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("testbed task failed");
        }
    }

    /** Stops the loop; tasks that have not started are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
