package rosespread.controller;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsFile;
import rosespread.settings.SettingsReader;

/**
 * Holds the settings in force and saves them in a snapshot on disk. Settings are changed by one
 * thread at a time and can be read by any thread.
 */
final class SettingsHolder {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsHolder.class);

    private final SettingsFile snapshot;
    private final Consumer<FleetSettings> listener;
    private volatile SettingsFile.Saved inForce;
    private volatile String problem = "";

    /**
     * @param folder the folder of the snapshot
     * @param listener receives settings when they come into force, on the thread that restores or
     *     applies them
     */
    SettingsHolder(Path folder, Consumer<FleetSettings> listener) {
        this.snapshot = new SettingsFile(folder);
        this.listener = listener;
    }

    /**
     * Brings the settings of the snapshot into force. If the snapshot cannot be read or is invalid,
     * {@link #problem} returns the reason.
     */
    synchronized void restore() {
        try {
            Optional<SettingsFile.Saved> saved = snapshot.load();
            if (saved.isEmpty()) {
                LOG.info("waiting for settings");
                return;
            }
            FleetSettings settings = SettingsReader.read(saved.get().json());
            inForce = saved.get();
            listener.accept(settings);
            LOG.atInfo()
                    .addKeyValue("revision", saved.get().revision())
                    .log("settings restored from the snapshot");
        } catch (IOException | SettingsException e) {
            problem = "snapshot refused: " + e.getMessage();
            LOG.atError()
                    .addKeyValue("reason", problem)
                    .log("settings snapshot not restored; waiting for settings");
        }
    }

    /** Applies and saves settings, see {@link Controller#apply}. */
    synchronized Controller.Applied apply(
            String text, String operator, String requestId, long expectedRevision)
            throws SettingsException, IOException {
        if (inForce != null && inForce.requestId().equals(requestId)) {
            return new Controller.Applied(true, Optional.of(inForce));
        }
        FleetSettings settings = SettingsReader.read(text);
        long revision = inForce == null ? 0 : inForce.revision();
        if (expectedRevision >= 0 && expectedRevision != revision) {
            return new Controller.Applied(false, Optional.ofNullable(inForce));
        }
        SettingsFile.Saved next =
                new SettingsFile.Saved(
                        text, revision + 1, operator, requestId, System.currentTimeMillis());
        save(next);
        problem = "";
        inForce = next;
        listener.accept(settings);
        LOG.atInfo()
                .addKeyValue("revision", next.revision())
                .addKeyValue("operator", operator)
                .log("settings applied");
        return new Controller.Applied(true, Optional.of(next));
    }

    private void save(SettingsFile.Saved next) throws IOException {
        Optional<Path> setAside = snapshot.save(next);
        setAside.ifPresent(
                path ->
                        LOG.atWarn()
                                .addKeyValue("path", path)
                                .log("damaged settings snapshot set aside"));
    }

    /** Returns the settings in force as they were applied; empty before any were applied. */
    Optional<SettingsFile.Saved> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Returns why the snapshot was refused; empty if the snapshot was not refused, or settings were
     * applied since.
     */
    String problem() {
        return problem;
    }
}
