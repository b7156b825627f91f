package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.platform.UnauthenticatedCall;

/**
 * Logs and counts the calls that are refused because their callers are not authenticated.
 *
 * <p>Callers whose key was withdrawn may repeat their calls as often as they like, so the lines of
 * each second are bounded; otherwise they would displace the decisions from the log.
 */
final class UnauthenticatedCallLog {

  /** A thirtieth of the lines of all kinds that the log takes. */
  private static final int MAXIMUM_LINES_PER_SECOND = 20;

  private final MemberContext context;
  private Instant secondEndsAt = Instant.MIN;
  private int linesThisSecond;
  private int omitted;

  UnauthenticatedCallLog(MemberContext context) {
    this.context = context;
  }

  void record(UnauthenticatedCall call, long configurationVersion) {
    context.metrics().countUnauthenticated(call.fault().name());
    if (!tryBeginLine(context.clock().instant())) {
      return;
    }
    Map<String, Object> fields = new HashMap<>();
    fields.put("reason", call.fault());
    fields.put("queue", call.queue());
    fields.put("version", configurationVersion);
    fields.put("omittedBefore", drainOmitted());
    context.log().write("call not authenticated", call.job().map(JobId::text).orElse(""), fields);
  }

  private synchronized boolean tryBeginLine(Instant now) {
    if (!now.isBefore(secondEndsAt)) {
      secondEndsAt = now.plus(Duration.ofSeconds(1));
      linesThisSecond = 0;
    }
    boolean within = linesThisSecond < MAXIMUM_LINES_PER_SECOND;
    linesThisSecond += within ? 1 : 0;
    omitted += within ? 0 : 1;
    return within;
  }

  private synchronized int drainOmitted() {
    int drained = omitted;
    omitted = 0;
    return drained;
  }
}
