/**
 * The part of RESP2, the Redis serialization protocol, that the platform's streams use: arrays of
 * bulk strings, in both directions. A parser and a writer that know nothing of sockets, and the
 * codec that puts them into a MINA filter chain.
 *
 * <p>Of the project it uses only the shared codec. A parser belongs to one session and so to that
 * session's I/O thread; the writer has no state.
 */
package rosespread.resp;
