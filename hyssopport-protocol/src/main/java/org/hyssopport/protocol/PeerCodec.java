package org.hyssopport.protocol;

import io.vavr.control.Either;
import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Encodes and decodes peer messages as MessagePack.
 *
 * @since 0.1
 * @see Frame
 */
public final class PeerCodec {

  private static final MessagePackCodec<Envelope> CODEC = MessagePackCodec.of(Envelope.class);

  private PeerCodec() {}

  /** Returns the envelope as MessagePack. */
  public static byte[] encode(Envelope envelope) {
    return CODEC.encode(envelope);
  }

  /** Returns the decoded envelope, or on the left why the bytes can't be decoded. */
  public static Either<String, Envelope> decode(byte[] payload) {
    return CODEC.decode(payload).flatMap(PeerCodec::requireComplete);
  }

  private static Either<String, Envelope> requireComplete(Envelope envelope) {
    boolean complete =
        envelope.sender() != null && envelope.receiver() != null && envelope.message() != null;
    return complete
        ? Either.right(envelope)
        : Either.left("envelope lacks its sender, receiver or message");
  }
}
