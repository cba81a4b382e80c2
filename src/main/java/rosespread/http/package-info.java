/**
 * A small HTTP/1.1 client and server on MINA: incremental parsing with hard limits, persistent
 * connections, deadlines. Uses {@link rosespread.codec} and nothing else of the project.
 *
 * <p>Each connection's parser and pipeline belong to its I/O thread; {@link
 * rosespread.http.HttpClient} and {@link rosespread.http.HttpServer} may be called from any thread.
 */
package rosespread.http;
