package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses the value of a configuration's record, so that it passes a slow link in time. */
final class CompressedConfiguration {

  /** Four times the largest record of the store. */
  static final int MAXIMUM_BYTES = 1_048_576;

  private static final int BUFFER_BYTES = 16_384;

  private CompressedConfiguration() {}

  static ByteBuffer deflate(ByteBuffer value) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(value.duplicate());
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return ByteBuffer.wrap(out.toByteArray());
    } finally {
      deflater.end();
    }
  }

  /** Returns the value, or why the bytes hold none. */
  static Either<String, byte[]> inflate(ByteBuffer deflated) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated.duplicate());
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0) {
          return Either.left("compressed value is incomplete");
        }
        out.write(buffer, 0, count);
        if (out.size() > MAXIMUM_BYTES) {
          return Either.left("value is over the limit of " + MAXIMUM_BYTES + " bytes");
        }
      }
      return Either.right(out.toByteArray());
    } catch (DataFormatException e) {
      return Either.left("value is not compressed as expected: " + e.getMessage());
    } finally {
      inflater.end();
    }
  }
}
