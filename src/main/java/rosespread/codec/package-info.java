/**
 * Adapts incremental parsers to MINA's protocol codecs; shared by all byte-stream protocols. Uses
 * MINA and no other package of the project. A parser belongs to one session and is called by that
 * session's I/O thread alone.
 */
package rosespread.codec;
