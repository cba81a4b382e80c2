package rosespread.scenario;

import java.io.IOException;
import java.util.function.Consumer;

/** Runs an action that blocks on a process or a response on its own daemon thread, off the loop. */
final class BackgroundTask {
    /** An action that may block. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the action.
         *
         * @throws IOException if a process or a call failed
         * @throws InterruptedException if the thread was asked to end
         */
        void run() throws IOException, InterruptedException;
    }

    private BackgroundTask() {}

    /**
     * Starts an action; an interruption ends it without a call of {@code onFailure}.
     *
     * @param onFailure called on the action's thread if the action failed
     */
    static void start(String threadName, Action action, Consumer<IOException> onFailure) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException e) {
                                onFailure.accept(e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        threadName);
        thread.setDaemon(true);
        thread.start();
    }
}
