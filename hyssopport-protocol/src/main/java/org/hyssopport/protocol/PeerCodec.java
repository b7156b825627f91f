package org.hyssopport.protocol;

import io.vavr.control.Either;
import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Encodes peer messages as MessagePack.
 *
 * @since 0.1
 * @see Frame
 */
public final class PeerCodec {

  private static final MessagePackCodec<Envelope> CODEC = MessagePackCodec.of(Envelope.class);

  private PeerCodec() {}

  /** Returns the encoded message. */
  public static byte[] encode(Envelope envelope) {
    return CODEC.encode(envelope);
  }

  /** Returns the message, or what is wrong with the bytes. */
  public static Either<String, Envelope> decode(byte[] payload) {
    return CODEC.decode(payload).flatMap(PeerCodec::requireComplete);
  }

  private static Either<String, Envelope> requireComplete(Envelope envelope) {
    boolean complete =
        envelope.sender() != null && envelope.receiver() != null && envelope.message() != null;
    return complete ? Either.right(envelope) : Either.left("a part of the envelope is missing");
  }
}
