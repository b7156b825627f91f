package org.hyssopport.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * One frame of the peer link: a length of four bytes, a version of one byte, and the payload.
 *
 * @since 0.1
 */
public final class Frame {

  /** The largest payload in bytes. */
  public static final int MAXIMUM_PAYLOAD_BYTES = 4 * 1024 * 1024;

  /** The version of the frame's content. */
  public static final byte VERSION = 1;

  /** The bytes that a frame adds to its payload. */
  public static final int OVERHEAD_BYTES = 5;

  private Frame() {}

  /**
   * Writes one frame without flushing.
   *
   * @throws IOException if the link is broken
   * @throws IllegalArgumentException if the payload is too large
   */
  public static void write(DataOutputStream out, byte[] payload) throws IOException {
    if (payload.length > MAXIMUM_PAYLOAD_BYTES) {
      throw new IllegalArgumentException("payload is over the limit: " + payload.length);
    }
    out.writeInt(payload.length);
    out.writeByte(VERSION);
    out.write(payload);
  }

  /**
   * Reads one frame.
   *
   * @return the payload
   * @throws FrameException if the frame is over the limit or of another version
   * @throws IOException if the link is broken
   */
  public static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAXIMUM_PAYLOAD_BYTES) {
      throw new FrameException("length " + length + " is over " + MAXIMUM_PAYLOAD_BYTES);
    }
    byte version = in.readByte();
    if (version != VERSION) {
      throw new FrameException("version " + version + " is not " + VERSION);
    }
    byte[] payload = new byte[length];
    in.readFully(payload);
    return payload;
  }

  /** Tells that the other side does not send frames of this form. */
  public static final class FrameException extends IOException {

    private static final long serialVersionUID = 1;

    FrameException(String message) {
      super(message);
    }
  }
}
