package org.hyssopport.engine.organisation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The digest of an API key. Members keep digests only, so that no key can reach a log, and compare
 * them in constant time.
 *
 * @since 0.3
 */
public final class ApiKeyDigest {

  private static final String ALGORITHM = "SHA-256";

  private final byte[] digest;

  private ApiKeyDigest(byte[] digest) {
    this.digest = digest;
  }

  /** Returns the digest of a key. */
  public static ApiKeyDigest of(String key) {
    try {
      return new ApiKeyDigest(
          MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has to support " + ALGORITHM, e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKeyDigest that && MessageDigest.isEqual(digest, that.digest);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(digest);
  }

  @Override
  public String toString() {
    return "API key (not shown)";
  }
}
