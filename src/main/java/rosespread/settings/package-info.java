/**
 * The settings that operators apply to a controller: their JSON format, their validation, and the
 * file that preserves the settings in force.
 *
 * <p>{@link rosespread.settings.JsonFields} reads any object field by field and reports all invalid
 * fields at once; it also reads scenario files. The package depends on {@code rosespread.api} only.
 * {@link rosespread.settings.FleetSettings} are immutable; readers and the file may be used by one
 * thread at a time.
 */
package rosespread.settings;
