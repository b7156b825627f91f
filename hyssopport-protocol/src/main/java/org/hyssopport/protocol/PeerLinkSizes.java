package org.hyssopport.protocol;

import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Computes the sizes of messages on the peer link, for benchmarks that open no link.
 *
 * @since 0.1
 */
public final class PeerLinkSizes {

  private PeerLinkSizes() {}

  /** Returns the size of the frame that carries the message, in bytes. */
  public static int sizeOf(Envelope envelope) {
    return PeerCodec.encode(envelope).length + Frame.OVERHEAD_BYTES;
  }
}
