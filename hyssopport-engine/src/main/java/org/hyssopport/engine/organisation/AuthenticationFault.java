package org.hyssopport.engine.organisation;

/**
 * Why a caller is not authenticated.
 *
 * @since 0.3
 */
public enum AuthenticationFault {
  /** The call states no key. */
  NO_KEY("states no API key"),
  /** The call has several authorization headers, so that it is not clear which key applies. */
  SEVERAL_KEYS("states more than one authorization"),
  /** The authorization is of a scheme other than that of API keys. */
  OTHER_SCHEME("states an authorization other than an API key"),
  /** The key is not text. */
  MALFORMED_KEY("states an API key that is not text"),
  /** The key belongs to no organisation of the configuration in force. */
  UNKNOWN_KEY("states an API key that is not known here");

  private final String description;

  AuthenticationFault(String description) {
    this.description = description;
  }

  /** Returns what is wrong with the call, for its sender. */
  public String description() {
    return description;
  }
}
