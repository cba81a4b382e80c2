package rosespread.scenario;

import java.io.IOException;
import java.util.function.Consumer;

/** Runs what waits for a process or an answer on a daemon thread of its own: the loop must not. */
final class BackgroundTask {
    /** What may wait. */
    @FunctionalInterface
    interface Action {
        /**
         * Does it.
         *
         * @throws IOException if a process or a call failed
         * @throws InterruptedException if the thread is to end
         */
        void run() throws IOException, InterruptedException;
    }

    private BackgroundTask() {}

    /** Starts an action; an interruption ends it. */
    static void start(String threadName, Action action, Consumer<IOException> failed) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException e) {
                                failed.accept(e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        threadName);
        thread.setDaemon(true);
        thread.start();
    }
}
