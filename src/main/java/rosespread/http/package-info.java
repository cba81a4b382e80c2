/**
 * An HTTP/1.1 client and server on MINA, with incremental parsing, limits on message size,
 * persistent connections and timeouts. Uses {@link rosespread.codec} and no other package of the
 * project.
 *
 * <p>Each connection's parser and pipeline belong to its I/O thread; {@link
 * rosespread.http.HttpClient} and {@link rosespread.http.HttpServer} may be called from any thread.
 */
package rosespread.http;
