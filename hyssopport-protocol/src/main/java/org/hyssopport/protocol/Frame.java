package org.hyssopport.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Reads and writes frames, which consist of the length of the payload in four bytes, a version in
 * one byte, and the payload.
 *
 * @since 0.1
 */
public final class Frame {

  /** The maximum size of a payload, in bytes. */
  public static final int MAXIMUM_PAYLOAD_BYTES = 4 * 1024 * 1024;

  /** The supported version of frames. */
  public static final byte VERSION = 1;

  /** The size of the length and the version before the payload, in bytes. */
  public static final int OVERHEAD_BYTES = 5;

  private Frame() {}

  /**
   * Writes one frame without flushing.
   *
   * @param out the stream to write to
   * @param payload the payload
   * @throws IOException if the stream can't be written
   * @throws IllegalArgumentException if the payload is larger than {@link #MAXIMUM_PAYLOAD_BYTES}
   */
  public static void write(DataOutputStream out, byte[] payload) throws IOException {
    if (payload.length > MAXIMUM_PAYLOAD_BYTES) {
      throw new IllegalArgumentException(
          "payload exceeds the maximum frame size; its length in bytes: " + payload.length);
    }
    out.writeInt(payload.length);
    out.writeByte(VERSION);
    out.write(payload);
  }

  /**
   * Reads one frame.
   *
   * @param in the stream to read from
   * @return the payload
   * @throws FrameException if the frame is larger than {@link #MAXIMUM_PAYLOAD_BYTES} or of another
   *     version
   * @throws IOException if the stream can't be read or ends within the frame
   */
  public static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAXIMUM_PAYLOAD_BYTES) {
      throw new FrameException(
          "length " + length + " is outside the range 0 to " + MAXIMUM_PAYLOAD_BYTES);
    }
    byte version = in.readByte();
    if (version != VERSION) {
      throw new FrameException("version " + version + " is not the supported version " + VERSION);
    }
    byte[] payload = new byte[length];
    in.readFully(payload);
    return payload;
  }

  /** Thrown if the received bytes are not a valid frame. */
  public static final class FrameException extends IOException {

    private static final long serialVersionUID = 1;

    FrameException(String message) {
      super(message);
    }
  }
}
