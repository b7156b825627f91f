package org.hyssopport.engine;

import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Answer.RefusalKind;
import org.hyssopport.engine.Answer.Refused;
import org.hyssopport.engine.Answer.RequestAnswer;
import org.hyssopport.policy.Finding;

/** Builds answers that several classes of the engine give. */
final class Answers {

  private Answers() {}

  static Refused notFound(String field, String id) {
    return refused(RefusalKind.NOT_FOUND, field, "is not known: " + id);
  }

  static Refused refused(RefusalKind kind, String field, String message) {
    return new Refused(kind, List.of(new Finding(field, message)));
  }

  static Refused unavailable(Reason reason) {
    return refused(RefusalKind.UNAVAILABLE, "", reason.text());
  }

  static RequestAnswer notRun(String requestId, Reason reason) {
    return new RequestAnswer(requestId, Outcome.NOT_RUN, reason, Optional.empty());
  }

  static RequestAnswer unknownOutcome(String requestId, Reason reason) {
    return new RequestAnswer(requestId, Outcome.UNKNOWN, reason, Optional.empty());
  }
}
