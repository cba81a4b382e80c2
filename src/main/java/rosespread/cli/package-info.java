/**
 * The program's command line: one class per subcommand, on picocli, with shared options as mixins.
 * Subcommands parse and print; other packages do the work. This package may use all others, and no
 * other package may use this one. Only this package writes to standard output and standard error,
 * through the writers of picocli's command line where the form of a call allows it.
 *
 * <p>Everything runs on the main thread. Exit codes are those of {@link rosespread.cli.ExitCodes}.
 */
package rosespread.cli;
