package org.hyssopport.launcher.cell;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.engine.scheduler.CallerRequestId;

/**
 * Counts and logs the requests that this member was sent as the scheduler and did not take.
 *
 * <p>All are counted; the lines are limited, since a whole site's requests may come to a member
 * that does not lead.
 */
final class NotTakenRequests {

  private static final int MAXIMUM_LINES_PER_SECOND = 20;

  private final MemberContext context;
  private long second;
  private int linesThisSecond;

  NotTakenRequests(MemberContext context) {
    this.context = context;
  }

  /**
   * Records a request.
   *
   * @param caller the member that sent the request, and its number for it
   * @param request the request
   * @param reason why it was not taken
   * @param term the newest term that this member knows
   */
  void record(CallerRequestId caller, CallerRequest request, NotTakenReason reason, long term) {
    context.metrics().countNotTaken(reason);
    if (mayWriteLine()) {
      context
          .log()
          .write(
              "request not taken",
              request.job().text(),
              Map.of(
                  "sender",
                  caller.member(),
                  "number",
                  caller.number(),
                  "reason",
                  reason,
                  "term",
                  term));
    }
  }

  private synchronized boolean mayWriteLine() {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != second) {
      second = now;
      linesThisSecond = 0;
    }
    linesThisSecond++;
    return linesThisSecond <= MAXIMUM_LINES_PER_SECOND;
  }
}
