package org.hyssopport.protocol;

import org.hyssopport.engine.PeerMessage.Envelope;

/**
 * Tells how many bytes a message takes on the peer link.
 *
 * @since 0.1
 */
public final class PeerLinkSizes {

  private PeerLinkSizes() {}

  /** Returns the bytes of the message's frame. */
  public static int sizeOf(Envelope envelope) {
    return PeerCodec.encode(envelope).length + Frame.OVERHEAD_BYTES;
  }
}
