/**
 * Benchmarks, run by hand and never by the build: JMH for single operations, small programs where
 * JMH does not fit (sizes, whole rounds). They print to standard output, since their figures are
 * copied into docs/results.md.
 */
package rosespread.bench;
