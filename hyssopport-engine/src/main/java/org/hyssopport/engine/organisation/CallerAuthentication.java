package org.hyssopport.engine.organisation;

import io.vavr.control.Either;
import java.util.Optional;

/**
 * Decides which organisation a call comes from, and which calls are refused.
 *
 * <p>Answers the load of callers that try keys, or go on calling with a key that was withdrawn:
 * their calls are refused by the member that receives them, and reach neither the scheduler nor the
 * store.
 *
 * @since 0.3
 */
public final class CallerAuthentication {

  private CallerAuthentication() {}

  /**
   * Authenticates the caller of a route.
   *
   * @param organisations the organisations of the configuration in force, if it states any
   * @param publicAccess whether the route needs no key
   * @param queue the name of the queue that the route leads to
   * @param key the key that the call states, or why it states none
   * @return the caller, empty on a cell without organisations, or why the call is refused
   */
  public static Either<AuthenticationFault, Optional<CallerIdentity>> authenticate(
      Optional<OrganisationDirectory> organisations,
      boolean publicAccess,
      String queue,
      Either<AuthenticationFault, ApiKeyDigest> key) {
    if (organisations.isEmpty()) {
      return Either.right(Optional.empty());
    }
    Either<AuthenticationFault, OrganisationId> organisation =
        key.flatMap(
            digest ->
                organisations
                    .get()
                    .findByKey(digest)
                    .map(found -> Either.<AuthenticationFault, OrganisationId>right(found.id()))
                    .orElseGet(() -> Either.left(AuthenticationFault.UNKNOWN_KEY)));
    return organisation.isLeft() && !publicAccess
        ? Either.left(organisation.getLeft())
        : Either.right(Optional.of(new CallerIdentity(organisation.toJavaOptional(), queue)));
  }
}
