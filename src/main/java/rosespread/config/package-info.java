/**
 * Configuration that the platform or the simulator supplies as a JSON document: typed access to its
 * fields with the field's path in every error, the ids of names, and the policy's settings. The
 * package {@code rosespread.settings} reads the operators' own settings.
 *
 * <p>The package depends only on {@code rosespread.api}. A {@link rosespread.config.ConfigObject}
 * does not change after it was read; a {@link rosespread.config.NameRegistry} is thread-safe.
 */
package rosespread.config;
