/**
 * The program's command line: one class a subcommand, on picocli, with shared options as mixins.
 * Subcommands parse and print; the work is done by the packages they call, of which this one may
 * use all and none may use this one. Only this package writes to standard output and standard
 * error, through the writers of picocli's command line where the form of a call allows it.
 *
 * <p>Everything runs on the main thread. Exit codes are those of {@link rosespread.cli.ExitCodes}.
 */
package rosespread.cli;
