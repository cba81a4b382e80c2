/**
 * The bridge between the project's incremental parsers and MINA's protocol codecs, shared by all
 * byte-stream protocols. Uses MINA and nothing else of the project. A parser belongs to one session
 * and is called by that session's I/O thread alone.
 */
package rosespread.codec;
