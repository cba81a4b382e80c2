/**
 * The subset of RESP2, the Redis serialization protocol, that the platform's streams use: arrays of
 * bulk strings, in both directions. Contains a parser and a writer that do not depend on sockets,
 * and a codec that integrates them into a MINA filter chain.
 *
 * <p>The only other package of the project that it uses is {@code rosespread.codec}. A parser
 * belongs to one session and is used only on that session's I/O thread; the writer is stateless.
 */
package rosespread.resp;
