package org.hyssopport.engine.platform;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.zip.CRC32;

/**
 * Computes the digest by which a lease renewal compares the running attempts of both sides.
 *
 * @since 0.1
 * @see WorkerCall.RenewLease
 */
public final class AttemptDigest {

  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private AttemptDigest() {}

  /** Returns the sum of the spread CRC-32 values of the attempts' printed forms. */
  public static long of(Collection<AttemptId> attempts) {
    long sum = 0;
    for (AttemptId attempt : attempts) {
      CRC32 checksum = new CRC32();
      checksum.update(attempt.toString().getBytes(StandardCharsets.UTF_8));
      sum += (checksum.getValue() + 1) * HASH_MULTIPLIER;
    }
    return sum;
  }
}
