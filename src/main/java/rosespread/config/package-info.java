/**
 * Configuration that comes as a JSON document of the platform or the simulator: typed access to its
 * fields with the field's path in every error, the ids that names are given, and the policy's
 * settings. Operators' own settings are read by {@code rosespread.settings}.
 *
 * <p>The package uses only {@code rosespread.api}. A {@link rosespread.config.ConfigObject} is not
 * changed after it was read; a {@link rosespread.config.NameRegistry} may be used from several
 * threads.
 */
package rosespread.config;
