/**
 * The settings that operators apply to a controller: their form as JSON, the checks on them, and
 * the file that keeps the ones in force.
 *
 * <p>{@link rosespread.settings.JsonFields} reads any object field by field and reports all invalid
 * fields at once; scenario files are read with it as well. The package uses only {@code
 * rosespread.api}. {@link rosespread.settings.FleetSettings} are immutable; readers and the file
 * belong to one thread at a time.
 */
package rosespread.settings;
