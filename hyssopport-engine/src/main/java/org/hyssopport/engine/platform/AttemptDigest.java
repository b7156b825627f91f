package org.hyssopport.engine.platform;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.zip.CRC32;

/**
 * Computes a digest of the attempts that run on a worker.
 *
 * <p>A lease renewal compares the holder's digest with the worker's, so that the worker lists its
 * attempts only if the two differ.
 *
 * @since 0.1
 * @see WorkerCall.RenewLease
 */
public final class AttemptDigest {

  /** Spreads the checksums, so that sums over related ids do not coincide. */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private AttemptDigest() {}

  /**
   * Returns the digest of the given attempts: the sum of the CRC-32 values of their ids, each
   * incremented by one and multiplied by a constant. It does not depend on the order of the
   * attempts.
   */
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
