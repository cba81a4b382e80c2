/**
 * The project's own protocol between a controller and its proxies, specified in docs/channel.md:
 * {@link rosespread.channel.Frame} for the messages, {@link rosespread.channel.FrameReader} and
 * {@link rosespread.channel.FrameWriter} for their bytes, {@link rosespread.channel.ChannelCodec}
 * to use both with MINA. Types and record components are named as in the specification. Uses {@link
 * rosespread.codec} and the identifiers of {@link rosespread.api}.
 *
 * <p>Frames are immutable; a reader belongs to one session and its I/O thread; the rest is
 * stateless.
 */
package rosespread.channel;
